#include "gypsumstep/dispatch/wait_queue.h"

namespace gypsumstep::dispatch {
namespace {

/// Share of the slot time that each priority but the most urgent keeps while it waits. Small, as
/// the most urgent work pays for it; it lets a flooded group still answer some of each priority.
constexpr double priority_floor = 0.1;

/// Highest sum of the floors, so that many priorities leave most of the slots to the urgent ones.
constexpr double max_sum_of_floors = 0.3;

/// Highest debt of an account in mean slot times; bounds how long it waits for others after a
/// statement that took much longer than usual.
constexpr int max_debt_statements = 64;

} // namespace

void wait_queue::set_fair(bool fair)
{
    if (fair == m_fair) {
        return;
    }
    std::vector<queued_statement*> waiting;
    visit([&waiting](queued_statement& item) {
        waiting.push_back(&item);
        return true;
    });
    clear();
    m_fair = fair;
    for (queued_statement* const item : waiting) {
        push(*item);
    }
}

void wait_queue::update(const queue_conditions& conditions, time_point now)
{
    const duration elapsed = std::max(now - m_updated, duration{0});
    m_updated = std::max(m_updated, now);
    m_conditions = conditions;
    for (auto& [priority, waiting] : m_levels) {
        waiting.credit.advance(floor_of(priority) * conditions.slots, !waiting.statements.empty(),
                               elapsed);
    }
}

void wait_queue::push(queued_statement& item)
{
    item.restricted = item.needs_primary || item.only_primary;
    m_levels[item.priority].statements.push(item, account_of(item));
}

void wait_queue::remove(queued_statement& item)
{
    m_levels.at(item.priority).statements.remove(item);
}

void wait_queue::start(queued_statement& item)
{
    level& waiting = m_levels.at(item.priority);
    item.charged = m_conditions.mean_slot_time;
    waiting.statements.start(item, item.charged);
    if (!m_fair) {
        return;
    }
    waiting.credit.charge(item.charged);
    for (auto& [priority, other] : m_levels) {
        if (priority != item.priority) {
            other.statements.on_other_start(item.restricted);
        }
    }
    if (m_visited_by_floor == &item) {
        ++m_starts_by_floor;
    }
}

void wait_queue::finished(queued_statement& item, duration slot_time)
{
    const duration excess = slot_time - std::exchange(item.charged, duration{0});
    if (!m_fair) {
        return;
    }
    level& used = m_levels[item.priority];
    used.statements.charge(item.account, excess, max_debt_statements * m_conditions.mean_slot_time);
    used.credit.charge(excess);
}

std::size_t wait_queue::count_ahead(const queued_statement& arriving) const
{
    const bool restricted = arriving.needs_primary || arriving.only_primary;
    std::size_t more_urgent = 0;
    std::size_t same = 0;
    std::size_t less_urgent = 0;
    for (const auto& [priority, waiting] : m_levels) {
        if (priority == arriving.priority) {
            same = waiting.statements.count_ahead(account_of(arriving), restricted,
                                                  m_conditions.mean_slot_time);
        }
        else {
            (priority < arriving.priority ? more_urgent : less_urgent) +=
                waiting.statements.size(restricted);
        }
    }
    return expected_ahead(same, more_urgent, less_urgent, floor_of(arriving.priority));
}

std::size_t wait_queue::size_of(std::uint32_t priority, const std::string& account) const
{
    const auto found = m_levels.find(priority);
    return found == m_levels.end() ? 0 : found->second.statements.size_of(account);
}

std::size_t wait_queue::waiting_accounts() const
{
    std::size_t sum = 0;
    for (const auto& [priority, waiting] : m_levels) {
        sum += m_fair ? waiting.statements.waiting_accounts() : 0;
    }
    return sum;
}

std::vector<wait_queue::pass> wait_queue::begin_passes(duration step)
{
    std::vector<pass> passes;
    passes.reserve(m_levels.size());
    for (auto& [priority, waiting] : m_levels) {
        if (!waiting.statements.empty()) {
            passes.push_back(
                {&waiting, std::make_unique<fair_queue::cursor>(waiting.statements, step), false});
        }
    }
    return passes;
}

wait_queue::pass* wait_queue::choose(std::vector<pass>& passes)
{
    const auto chosen = scheduling::select_level(
        passes.begin(), passes.end(), [](const pass& each) { return !each.done; },
        [](const pass& each) { return each.visited->credit.value(); });
    return chosen == passes.end() ? nullptr : &*chosen;
}

wait_queue::counts wait_queue::total() const
{
    counts sum;
    for (const auto& [priority, waiting] : m_levels) {
        sum += counts_of(waiting);
    }
    return sum;
}

const std::string& wait_queue::account_of(const queued_statement& item) const
{
    static const std::string all_accounts;
    return m_fair ? item.account : all_accounts;
}

double wait_queue::floor_of(std::uint32_t priority) const
{
    if (!m_fair || m_levels.empty() || priority <= m_levels.begin()->first) {
        return 0.0;
    }
    return std::min(priority_floor,
                    max_sum_of_floors /
                        static_cast<double>(std::max(m_levels.size(), std::size_t{2}) - 1));
}

std::size_t wait_queue::expected_ahead(std::size_t same, std::size_t more_urgent,
                                       std::size_t less_urgent, double floor) const
{
    if (!m_fair) {
        return same + more_urgent;
    }
    // By its floor the priority gets one start in 1 / floor, whatever is more urgent.
    if (floor > 0.0) {
        const double others = static_cast<double>(same + 1) * (1.0 - floor) / floor;
        more_urgent = std::min(more_urgent, static_cast<std::size_t>(others));
    }
    // The floors of less urgent priorities take their share of the starts.
    const double below = std::min(priority_floor, max_sum_of_floors);
    const double started_below = static_cast<double>(same + more_urgent) * below / (1.0 - below);
    return same + more_urgent + std::min(less_urgent, static_cast<std::size_t>(started_below));
}

void wait_queue::clear()
{
    for (auto& [priority, waiting] : m_levels) {
        waiting.statements.clear();
    }
}

} // namespace gypsumstep::dispatch
