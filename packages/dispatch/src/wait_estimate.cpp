#include "gypsumstep/dispatch/wait_estimate.h"

#include <algorithm>

namespace gypsumstep::dispatch {
namespace {

/// Weight of a new measurement; follows a change of load within some 30 statements.
constexpr std::int64_t smoothing = 16;

/// Smallest useful pause before a client asks again.
constexpr duration min_retry_after = 50ms;

} // namespace

void wait_estimate::on_completed(duration occupied)
{
    m_mean += (occupied - m_mean) / smoothing;
}

duration wait_estimate::expected_wait(std::size_t ahead, std::uint32_t places) const
{
    return m_mean * static_cast<std::int64_t>(ahead) /
           static_cast<std::int64_t>(std::max(places, 1U));
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
