#include "gypsumstep/admission/connect_limiter.h"

#include <algorithm>

namespace gypsumstep::admission {

namespace {

constexpr std::uint32_t highest_doublings = 16;

} // namespace

connect_limiter::connect_limiter(connect_limiter_settings settings) : m_settings{settings} {}

bool connect_limiter::try_open(time_point now)
{
    if (now < m_not_before || m_opening >= m_settings.highest_opening) {
        return false;
    }
    m_opening += 1;
    return true;
}

void connect_limiter::opened()
{
    m_opening -= std::min(m_opening, 1U);
    m_failures = 0;
}

void connect_limiter::failed(random_source& random, time_point now)
{
    m_opening -= std::min(m_opening, 1U);
    const std::uint32_t doublings = std::min(m_failures, highest_doublings);
    m_failures += 1;
    const duration mean = m_settings.first_delay * (1U << doublings);
    back_off(std::min(mean, m_settings.longest_delay), random, now);
}

void connect_limiter::lost(random_source& random, time_point now)
{
    if (m_failures == 0 && now >= m_not_before) {
        back_off(m_settings.first_delay, random, now);
    }
}

void connect_limiter::back_off(duration mean, random_source& random, time_point now)
{
    // Uniform around the mean: the same mean as without jitter, spread over the
    // widest interval.
    const time_point until = now + random.between(duration{0}, 2 * mean);
    m_not_before = std::max(m_not_before, until);
}

} // namespace gypsumstep::admission
