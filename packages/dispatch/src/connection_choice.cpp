#include "gypsumstep/dispatch/connection_choice.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace gypsumstep::dispatch {
namespace {

using seconds = std::chrono::duration<double>;

/// Time constant of the decaying counts. Most of 84 accounts use a server less than once in 10 s,
/// so a shorter memory could not tell them apart.
constexpr seconds usage_memory{30.0};

/// Divisor of the moving average of the time for which a connection is taken.
constexpr std::int64_t hold_smoothing = 16;

/// Accounts whose counts are kept. Beyond it, those with a negligible count are dropped.
constexpr std::size_t max_tracked_accounts = 256;
constexpr double negligible_count = 0.01;

/// A further connection for an account is opened only if waiting takes this many times as long.
/// Above 1, since a handshake also takes slot time from other statements.
constexpr std::int64_t opening_advantage = 2;

/// Likewise if a connection with a higher expected reuse would be closed for it, which will
/// probably cost a second handshake.
constexpr std::int64_t displacing_advantage = 4;

double decayed(double value, time_point since, time_point now)
{
    return value * std::exp(-seconds{std::max(now - since, duration{0})} / usage_memory);
}

/// Returns the probability that all of \p connections are taken (Erlang's loss formula).
double probability_all_taken(double offered, std::uint32_t connections)
{
    double probability = 1.0;
    for (std::uint32_t count = 1; count <= connections; ++count) {
        probability = offered * probability / (count + offered * probability);
    }
    return probability;
}

} // namespace

void account_usage::on_taken(const std::string& account, time_point now)
{
    decaying_count& uses = m_uses[account];
    uses.value = decayed(uses.value, uses.at, now) + 1.0;
    uses.at = now;
    if (m_uses.size() > max_tracked_accounts) {
        std::erase_if(m_uses, [now](const auto& entry) {
            return decayed(entry.second.value, entry.second.at, now) < negligible_count;
        });
    }
}

void account_usage::on_returned(duration held)
{
    m_mean_hold += (held - m_mean_hold) / hold_smoothing;
}

double account_usage::rate(std::string_view account, time_point now) const
{
    const auto found = m_uses.find(account);
    return found == m_uses.end()
               ? 0.0
               : decayed(found->second.value, found->second.at, now) / usage_memory.count();
}

double account_usage::reuse_rate(std::string_view account, std::uint32_t connections,
                                 time_point now) const
{
    const double uses = rate(account, now);
    const double offered = uses * seconds{m_mean_hold}.count();
    return uses * probability_all_taken(offered, std::max(connections, 1U) - 1);
}

std::string account_usage::busiest(time_point now) const
{
    const auto found =
        std::max_element(m_uses.begin(), m_uses.end(), [now](const auto& left, const auto& right) {
            return decayed(left.second.value, left.second.at, now) <
                   decayed(right.second.value, right.second.at, now);
        });
    return found == m_uses.end() ? std::string{} : found->first;
}

std::optional<closable_connection> choose_to_close(std::span<const pooled_connection> connections,
                                                   const account_usage& usage,
                                                   std::optional<std::string_view> needed_by,
                                                   time_point now)
{
    std::map<std::string_view, double> reuse_rates;
    std::optional<closable_connection> best;
    for (std::size_t place = 0; place < connections.size(); ++place) {
        const pooled_connection& connection = connections[place];
        if (connection.use != connection_use::idle || connection.account == needed_by) {
            continue;
        }
        const auto [known, is_new] = reuse_rates.try_emplace(connection.account, 0.0);
        if (is_new) {
            const auto count =
                std::count_if(connections.begin(), connections.end(), [&](const auto& other) {
                    return other.account == connection.account;
                });
            known->second =
                usage.reuse_rate(connection.account, static_cast<std::uint32_t>(count), now);
        }
        if (!best || known->second < best->reuse_rate ||
            (known->second == best->reuse_rate &&
             connection.idle_since < connections[best->place].idle_since)) {
            best = closable_connection{place, known->second};
        }
    }
    return best;
}

std::optional<duration> wait_for_own_connection(const opening_input& input)
{
    const std::uint32_t providers = input.running + input.opening;
    if (providers == 0) {
        return std::nullopt;
    }
    // The first of them is free after the statement that it runs, or once it is open.
    const std::uint32_t turns = input.waiting_before + (input.running > 0 ? 1 : 0);
    const duration first = input.running > 0 ? duration{0} : input.opening_time;
    return first + input.mean_hold * turns / providers;
}

bool is_opening_worthwhile(const opening_input& input)
{
    const auto own_wait = wait_for_own_connection(input);
    if (!own_wait) {
        return true;
    }
    return *own_wait >
           input.opening_time *
               (displaces_better_connection(input) ? displacing_advantage : opening_advantage);
}

bool displaces_better_connection(const opening_input& input)
{
    return input.closed_reuse_rate > input.reuse_rate;
}

void handshake_pace::set_capacity(std::uint32_t slots, std::uint32_t daemons, time_point now)
{
    // Before the first call nothing was used up, so the first limit starts full.
    if (m_updated != time_point{}) {
        m_saved = saved(now);
    }
    m_updated = now;
    m_rate = slot_share * std::max(slots, 1U) / std::max(daemons, 1U) /
             seconds{handshake_slot_time}.count();
}

bool handshake_pace::may_open(bool urgent, time_point now) const
{
    return saved(now) >= 1.0 + (urgent ? 0.0 : urgent_reserve);
}

void handshake_pace::on_opened(time_point now)
{
    // Connections that are exempt from the limit may use up more than was saved.
    m_saved = std::max(saved(now) - 1.0, -min_saved);
    m_updated = now;
}

duration handshake_pace::wait_for(std::size_t waiting, time_point now) const
{
    const double missing = static_cast<double>(waiting) + urgent_reserve - saved(now);
    return std::chrono::ceil<duration>(seconds{std::max(missing, 0.0) / m_rate});
}

double handshake_pace::saved(time_point now) const
{
    const seconds passed{std::max(now - m_updated, duration{0})};
    return std::min(m_saved + m_rate * passed.count(), max_saved());
}

double handshake_pace::max_saved() const
{
    return std::max(min_saved, m_rate * seconds{saving_time}.count());
}

duration wait_for_returned_connection(duration mean_hold, duration mean_age,
                                      std::size_t waiting_before, std::uint32_t connections)
{
    return std::max(mean_hold, mean_age) * static_cast<std::int64_t>(waiting_before + 1) /
           static_cast<std::int64_t>(std::max(connections, 1U));
}

} // namespace gypsumstep::dispatch
