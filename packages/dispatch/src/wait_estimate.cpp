#include "gypsumstep/dispatch/wait_estimate.h"

#include <algorithm>

namespace gypsumstep::dispatch {
namespace {

/// Divisor of the moving average; the mean follows a change of load within some 30 statements.
constexpr std::int64_t smoothing = 16;

/// Shortest useful time before a client retries.
constexpr duration min_retry_after = 50ms;

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

} // namespace gypsumstep::dispatch
