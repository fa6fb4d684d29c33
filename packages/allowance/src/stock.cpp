#include "gypsumstep/allowance/stock.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gypsumstep::allowance {
namespace {

/// A keeper that has not answered for this long counts as silent, and another one is asked. Covers
/// a round trip between regions and a pause of a VM with a small share of a core.
constexpr duration answer_timeout = 150ms;

/// A silent keeper is not asked for the first time, which doubles with each further silence up to
/// the second one: a restart is over soon, and the loss of a keeper delays few operations.
constexpr duration min_silent_backoff = 200ms;
constexpr duration max_silent_backoff = 2s;

/// An operation waits for the next token of the keepers if it is due within this time; otherwise
/// it is refused at once. A client would not come back earlier than that.
constexpr duration max_wait_for_refill = 200ms;

/// Least part of a token that is requested alone; a smaller one is not worth its datagram.
constexpr double min_part_to_collect = 0.1;

/// How long after a refusal an account counts as flooded at this daemon: its tokens ahead of use
/// are then sure to be used.
constexpr duration flood_memory = 1s;

/// Longest time that an operation waits: as long as six silent keepers take, one after the other.
constexpr duration max_wait = 6 * answer_timeout;

/// A daemon that holds no slot is asked again after this time: the time of a takeover.
constexpr duration no_keeper_backoff = 200ms;

/// Most accounts in one request, so that its datagram is not fragmented on the way.
constexpr std::size_t max_needs = 30;

/// Time constant of the recent use of an account.
constexpr duration use_memory = 1s;

/// Share of the tokens' lifetime whose expected use is requested ahead. Low, since tokens that
/// expire unused are lost to the account.
constexpr double ahead_share = 0.5;

double seconds(duration value)
{
    return std::chrono::duration<double>{value}.count();
}

} // namespace

stock::stock(const terms& bound, std::string self, std::uint64_t first_number)
    : m_terms{bound}, m_self{std::move(self)}, m_next_number{first_number}
{
}

void stock::set_limits(const account_limits& limits)
{
    for (auto entry = m_accounts.begin(); entry != m_accounts.end();) {
        const auto found = limits.find(entry->first);
        if (found == limits.end() || found->second.rate_per_second <= 0) {
            // The key may belong to another account now, whose limit these operations would pass.
            for (const waiting_operation& operation : entry->second.queue) {
                m_operations.erase(operation.id);
                m_decisions.push_back({operation.id, entry->first, false, max_wait_for_refill});
            }
            m_active.erase(entry->first);
            entry = m_accounts.erase(entry);
            continue;
        }
        ++entry;
    }
    for (const auto& [name, limit] : limits) {
        if (limit.rate_per_second <= 0) {
            continue;
        }
        account_state& account = m_accounts[name];
        account.limit = limit;
        auto allowed = static_cast<std::uint64_t>((limit.burst + m_terms.extra_depth()) *
                                                  thousandths_of_token);
        for (held_tokens& held : account.tokens) {
            held.thousandths =
                static_cast<std::uint32_t>(std::min<std::uint64_t>(held.thousandths, allowed));
            allowed -= held.thousandths;
        }
        // A raised limit may make a keeper's earlier answer too pessimistic.
        account.empty_until.clear();
    }
}

void stock::set_keepers(std::vector<keeper_place> nearest_first, double part_of_slot)
{
    m_keepers = std::move(nearest_first);
    m_part_of_slot = part_of_slot;
}

bool stock::is_limited(std::string_view account) const
{
    return m_accounts.contains(account);
}

void stock::record_use(account_state& account, time_point now) const
{
    const double age = seconds(now - account.used_at) / seconds(use_memory);
    account.recent_use = account.recent_use * std::exp(-age) + 1;
    account.used_at = now;
}

std::uint32_t stock::ahead_of_use(const account_state& account, time_point now) const
{
    const double age = seconds(now - account.used_at) / seconds(use_memory);
    const double rate = account.recent_use * std::exp(-age) / seconds(use_memory);
    return static_cast<std::uint32_t>(rate * seconds(m_terms.token_lifetime()) * ahead_share);
}

bool stock::take_token(account_state& account, time_point now)
{
    while (!account.tokens.empty() && account.tokens.front().expires_at <= now) {
        account.tokens.pop_front();
    }
    std::uint32_t available = 0;
    for (const held_tokens& held : account.tokens) {
        available += held.thousandths;
    }
    if (available < thousandths_of_token) {
        return false;
    }
    for (std::uint32_t missing = thousandths_of_token; missing > 0;) {
        held_tokens& held = account.tokens.front();
        const std::uint32_t taken = std::min(missing, held.thousandths);
        held.thousandths -= taken;
        missing -= taken;
        if (held.thousandths == 0) {
            account.tokens.pop_front();
        }
    }
    return true;
}

bool stock::try_take(std::string_view account, time_point now)
{
    const auto found = m_accounts.find(account);
    if (found == m_accounts.end()) {
        return true;
    }
    account_state& state = found->second;
    // An operation does not overtake those that wait.
    if (!state.queue.empty() || !take_token(state, now)) {
        return false;
    }
    record_use(state, now);
    return true;
}

void stock::wait(std::string_view account, operation_id operation, time_point now)
{
    const auto found = m_accounts.find(account);
    if (found == m_accounts.end()) {
        m_decisions.push_back({operation, std::string{account}, true, {}});
        return;
    }
    record_use(found->second, now);
    found->second.queue.push_back({operation, now + max_wait});
    m_operations.emplace(operation, found->first);
    m_active.insert(found->first);
    refuse_hopeless(*found, now);
}

void stock::cancel(operation_id operation)
{
    const auto found = m_operations.find(operation);
    if (found == m_operations.end()) {
        return;
    }
    std::erase_if(m_accounts.at(found->second).queue,
                  [&](const waiting_operation& waiting) { return waiting.id == operation; });
    m_operations.erase(found);
}

void stock::grant_waiting(account_map::value_type& entry, time_point now)
{
    account_state& account = entry.second;
    while (!account.queue.empty() && take_token(account, now)) {
        const operation_id id = account.queue.front().id;
        account.queue.pop_front();
        m_operations.erase(id);
        m_decisions.push_back({id, entry.first, true, {}});
    }
}

time_point stock::available_at(const account_state& account, const std::string& keeper) const
{
    const auto empty = account.empty_until.find(keeper);
    const auto silent = m_silent.find(keeper);
    const time_point not_empty = empty == account.empty_until.end() ? time_point{} : empty->second;
    const time_point not_silent = silent == m_silent.end() ? time_point{} : silent->second.until;
    return std::max(not_empty, not_silent);
}

void stock::refuse_front(account_map::value_type& entry, duration retry_after)
{
    const operation_id id = entry.second.queue.front().id;
    entry.second.queue.pop_front();
    m_operations.erase(id);
    m_decisions.push_back({id, entry.first, false, retry_after});
}

void stock::refuse_hopeless(account_map::value_type& entry, time_point now)
{
    account_state& account = entry.second;
    time_point next = time_point::max();
    bool one_answered = false;
    for (const keeper_place& keeper : m_keepers) {
        const auto empty = account.empty_until.find(keeper.name);
        next = std::min(next, available_at(account, keeper.name));
        one_answered = one_answered || (empty != account.empty_until.end() && empty->second > now);
    }
    // Before the first list of daemons no keeper is known, and after a restart of all daemons none
    // answers yet; both end before an operation's deadline.
    const duration patience = one_answered ? max_wait_for_refill : max_wait;
    const duration retry_after =
        next == time_point::max() ? max_silent_backoff : std::max(next - now, max_wait_for_refill);
    while (!account.queue.empty()) {
        const time_point deadline = account.queue.front().deadline;
        // While a request is open, its answer may still bring a token.
        const bool hopeless = !m_keepers.empty() && account.asked == 0 && account.collecting == 0 &&
                              next > std::min(deadline, now + patience) &&
                              parts_to_collect(account, now).empty();
        if (!hopeless && now < deadline) {
            break;
        }
        refuse_front(entry, retry_after);
        account.refused_at = now;
    }
}

const keeper_place* stock::choose_keeper(const account_state& account, time_point now) const
{
    const keeper_place* best = nullptr;
    time_point best_since{};
    for (const keeper_place& keeper : m_keepers) {
        if (best != nullptr && keeper.distance > best->distance) {
            break;
        }
        if (available_at(account, keeper.name) > now) {
            continue;
        }
        // The bucket that was empty the longest ago holds most, and overflows first.
        const auto empty = account.empty_until.find(keeper.name);
        const time_point since = empty == account.empty_until.end() ? time_point{} : empty->second;
        if (best == nullptr || since < best_since) {
            best = &keeper;
            best_since = since;
        }
    }
    return best;
}

std::map<std::string, std::uint32_t> stock::parts_to_collect(const account_state& account,
                                                             time_point now) const
{
    const double rate = account.limit.rate_per_second * m_part_of_slot;
    // Each keeper of a larger account has a whole token soon enough, and parts of an account that
    // is flooded are not left over.
    if (rate * seconds(max_wait_for_refill) >= 1 ||
        (account.refused_at && now - *account.refused_at <= flood_memory)) {
        return {};
    }
    std::map<std::string, std::uint32_t> parts;
    std::uint32_t missing = thousandths_of_token;
    for (const keeper_place& keeper : m_keepers) {
        const auto empty = account.empty_until.find(keeper.name);
        const auto silent = m_silent.find(keeper.name);
        if (missing == 0 || empty == account.empty_until.end() ||
            (silent != m_silent.end() && silent->second.until > now)) {
            continue;
        }
        // The keeper has one token at the time that it told.
        const double level = 1 - seconds(std::max(empty->second - now, duration{0})) * rate;
        if (level >= min_part_to_collect) {
            const auto thousandths = static_cast<std::uint32_t>(level * thousandths_of_token);
            const std::uint32_t part = std::min(missing, thousandths);
            parts.emplace(keeper.name, part);
            missing -= part;
        }
    }
    return missing == 0 ? parts : std::map<std::string, std::uint32_t>{};
}

std::vector<outgoing_request> stock::take_requests(time_point now)
{
    std::map<std::string, std::vector<account_need>, std::less<>> due;
    for (auto name = m_active.begin(); name != m_active.end();) {
        account_state& account = m_accounts.at(*name);
        if (account.queue.empty()) {
            name = m_active.erase(name);
            continue;
        }
        // One request at a time: operations that arrive meanwhile are asked for together.
        if (account.asked == 0 && account.collecting == 0) {
            if (const keeper_place* const keeper = choose_keeper(account, now)) {
                const bool flooded =
                    account.refused_at && now - *account.refused_at <= flood_memory;
                const std::uint32_t ahead = ahead_of_use(account, now);
                account.asked =
                    static_cast<std::uint32_t>(account.queue.size()) + (flooded ? ahead : 0);
                due[keeper->name].push_back({*name, account.asked, flooded ? 0 : ahead, 0});
            }
            else {
                for (const auto& [holder, part] : parts_to_collect(account, now)) {
                    due[holder].push_back({*name, 0, 0, part});
                    ++account.collecting;
                }
            }
        }
        ++name;
    }
    std::vector<outgoing_request> requests;
    requests.reserve(due.size());
    for (const auto& [keeper, needs] : due) {
        for (std::size_t first = 0; first < needs.size(); first += max_needs) {
            const auto begin = needs.begin() + static_cast<std::ptrdiff_t>(first);
            const auto count = std::min(max_needs, needs.size() - first);
            const std::vector<account_need> some{begin, begin + static_cast<std::ptrdiff_t>(count)};
            const std::uint64_t number = m_next_number++;
            requests.push_back({keeper, {m_self, number, some}});
            m_requests.emplace(number, open_request{keeper, some, now});
        }
    }
    return requests;
}

void stock::settle(const open_request& request)
{
    if (request.overdue) {
        return;
    }
    for (const account_need& need : request.needs) {
        if (const auto found = m_accounts.find(need.account); found != m_accounts.end()) {
            found->second.asked -= std::min(found->second.asked, need.waiting);
            found->second.collecting -=
                std::min(found->second.collecting, need.thousandths > 0 ? 1U : 0U);
        }
    }
}

void stock::on_answer(const token_answer& answer, time_point now)
{
    const auto found = m_requests.find(answer.number);
    if (found == m_requests.end()) {
        return;
    }
    const open_request request = std::move(found->second);
    m_requests.erase(found);
    settle(request);
    const bool complete = answer.is_keeper && answer.grants.size() == request.needs.size();
    if (complete) {
        m_silent.erase(request.keeper);
    }
    else {
        m_silent[request.keeper] = {now + no_keeper_backoff, min_silent_backoff};
    }
    const time_point expires_at = request.sent_at + m_terms.token_lifetime();
    for (std::size_t place = 0; place < request.needs.size(); ++place) {
        const auto entry = m_accounts.find(request.needs[place].account);
        if (entry == m_accounts.end()) {
            continue;
        }
        account_state& account = entry->second;
        if (complete) {
            const account_grant& grant = answer.grants[place];
            if (grant.thousandths > 0 && now < expires_at) {
                const auto later = std::find_if(
                    account.tokens.begin(), account.tokens.end(),
                    [&](const held_tokens& held) { return held.expires_at > expires_at; });
                account.tokens.insert(later, {grant.thousandths, expires_at});
            }
            account.empty_until[request.keeper] = now + grant.retry_after;
        }
        grant_waiting(*entry, now);
        refuse_hopeless(*entry, now);
    }
}

void stock::on_tick(time_point now)
{
    for (auto entry = m_requests.begin(); entry != m_requests.end();) {
        open_request& request = entry->second;
        if (!request.overdue && now - request.sent_at >= answer_timeout) {
            settle(request);
            request.overdue = true;
            silence& silent = m_silent[request.keeper];
            silent.backoff = std::clamp(2 * silent.backoff, min_silent_backoff, max_silent_backoff);
            silent.until = now + silent.backoff;
        }
        // Tokens of an answer that comes later still are expired.
        if (request.overdue && now - request.sent_at >= m_terms.token_lifetime()) {
            entry = m_requests.erase(entry);
            continue;
        }
        ++entry;
    }
    for (const std::string& name : m_active) {
        const auto entry = m_accounts.find(name);
        grant_waiting(*entry, now);
        refuse_hopeless(*entry, now);
    }
}

time_point stock::next_tick() const
{
    time_point next = time_point::max();
    for (const auto& [number, request] : m_requests) {
        next =
            std::min(next, request.sent_at +
                               (request.overdue ? std::max(m_terms.token_lifetime(), answer_timeout)
                                                : answer_timeout));
    }
    for (const std::string& name : m_active) {
        const account_state& account = m_accounts.find(name)->second;
        if (account.queue.empty()) {
            continue;
        }
        next = std::min(next, account.queue.front().deadline);
        if (account.asked == 0 && account.collecting == 0) {
            for (const keeper_place& keeper : m_keepers) {
                next = std::min(next, available_at(account, keeper.name));
            }
        }
    }
    return next;
}

std::vector<decision> stock::take_decisions()
{
    return std::exchange(m_decisions, {});
}

} // namespace gypsumstep::allowance
