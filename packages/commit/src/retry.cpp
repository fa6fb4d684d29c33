#include "gypsumstep/commit/retry.h"

#include <algorithm>

namespace gypsumstep::commit {
namespace {

constexpr std::uint32_t max_doublings = 20; // keeps the shift within 64 bits

duration max_delay(const retry_settings& settings, std::uint32_t retries)
{
    const auto doublings = std::min(retries, max_doublings);
    return std::min(settings.first_delay * (std::int64_t{1} << doublings), settings.delay_limit);
}

} // namespace

retry_budget::retry_budget(retry_settings settings)
    : m_settings{settings}, m_available{settings.burst}
{
}

void retry_budget::add_new_request()
{
    m_available = std::min(m_available + m_settings.share, m_settings.burst);
}

std::optional<time_point> retry_budget::schedule(const retry_request& request, time_point now,
                                                 random_source& random)
{
    // Full jitter keeps clients that failed at the same time from retrying at the same time.
    const duration delay = random.between(duration{0}, max_delay(m_settings, request.retries));
    if (m_available < 1.0 || now + delay >= request.deadline) {
        return std::nullopt;
    }
    m_available -= 1.0;
    return now + delay;
}

} // namespace gypsumstep::commit
