#include "gypsumstep/dispatch/wait_estimate.h"

#include <algorithm>

namespace gypsumstep::dispatch {
namespace {

/// Divisor of the moving average; the mean follows a change of load within some 30 statements.
constexpr std::int64_t smoothing = 16;

/// Shortest useful time before a client retries.
constexpr duration min_retry_after = 50ms;

/// Number of statements of a usual transaction. Each takes its own time at the server, and all of
/// them must fit into the target of the operation.
constexpr int transaction_statements = 4;

/// Share of the target that the expected end may use. Waits spread around their estimate, so that
/// half of what is expected to end just at the target would be late.
constexpr double usable_target_share = 0.8;

/// Smallest share of the target that a statement may spend in the queue, also if the estimates
/// say that the rest is needed for running it: they are means of all kinds of statements.
constexpr int min_queueing_divisor = 4;

/// Share of the starts that returning clients are to take; the others are for new work. The
/// reciprocal of the share.
constexpr int return_interval_factor = 2;

/// Refused clients are asked to return within this time after the earliest useful moment. More
/// would exceed the time limits of usual routes, which are some seconds.
constexpr duration max_retry_spread = 2s;

} // namespace

void wait_estimate::on_completed(duration service_time)
{
    m_mean += (service_time - m_mean) / smoothing;
}

duration wait_estimate::expected_wait(std::size_t ahead, std::uint32_t slots) const
{
    return m_mean * static_cast<std::int64_t>(ahead) /
           static_cast<std::int64_t>(std::max(slots, 1U));
}

std::optional<refusal> check_admission(const admission_input& input)
{
    const duration wait =
        input.server_available ? input.expected_wait : input.available_in + input.expected_wait;
    if (wait <= input.max_wait) {
        return std::nullopt;
    }
    return refusal{std::max(wait - input.max_wait, min_retry_after)};
}

duration useful_wait(const caller_needs& needs, duration mean_slot_time)
{
    if (needs.target == duration{0}) {
        return needs.max_wait;
    }
    const duration running =
        mean_slot_time * (needs.opens_transaction ? transaction_statements : 1);
    const auto usable = std::chrono::duration_cast<duration>(needs.target * usable_target_share);
    const duration in_time = std::max(usable - running, needs.target / min_queueing_divisor);
    return std::min(needs.max_wait, in_time);
}

duration retry_schedule::next(std::uint32_t priority, const std::string& account, duration earliest,
                              duration start_interval, time_point now)
{
    std::erase_if(m_next, [now](const auto& entry) { return entry.second <= now; });
    const time_point first = now + std::max(earliest, min_retry_after);
    time_point& next = m_next[{priority, account}];
    const auto others = std::count_if(m_next.begin(), m_next.end(), [&](const auto& entry) {
        return entry.first.first == priority && &entry.second != &next;
    });
    const duration interval = start_interval * return_interval_factor;
    if (next < first || next > first + max_retry_spread) {
        next = first + interval * others;
    }
    const time_point chosen = std::min(next, first + max_retry_spread);
    next = chosen + interval * (others + 1);
    return chosen - now;
}

} // namespace gypsumstep::dispatch
