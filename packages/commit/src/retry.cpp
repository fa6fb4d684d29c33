#include "gypsumstep/commit/retry.h"

#include <algorithm>

namespace gypsumstep::commit {
namespace {

constexpr std::uint32_t doubling_limit = 20; // keeps the shift inside 64 bits

duration delay_bound(const retry_settings& settings, std::uint32_t retries)
{
    const auto doublings = std::min(retries, doubling_limit);
    return std::min(settings.first_delay * (std::int64_t{1} << doublings), settings.delay_limit);
}

} // namespace

retry_budget::retry_budget(retry_settings settings)
    : m_settings{settings}, m_available{settings.burst}
{
}

void retry_budget::add_fresh_request()
{
    m_available = std::min(m_available + m_settings.share, m_settings.burst);
}

std::optional<time_point> retry_budget::schedule(const retry_request& request, time_point now,
                                                 random_source& random)
{
    // Full jitter keeps callers that failed together from returning together.
    const duration delay = random.between(duration{0}, delay_bound(m_settings, request.retries));
    if (m_available < 1.0 || now + delay >= request.deadline) {
        return std::nullopt;
    }
    m_available -= 1.0;
    return now + delay;
}

} // namespace gypsumstep::commit
