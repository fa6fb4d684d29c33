#include "gypsumstep/admission/connect_limiter.h"

#include <algorithm>

namespace gypsumstep::admission {

namespace {

constexpr std::uint32_t max_doublings = 16;

} // namespace

connect_limiter::connect_limiter(connect_limiter_settings settings) : m_settings{settings} {}

bool connect_limiter::try_open(time_point now)
{
    if (now < m_not_before || m_connecting >= m_settings.max_connecting) {
        return false;
    }
    m_connecting += 1;
    return true;
}

void connect_limiter::opened()
{
    m_connecting -= std::min(m_connecting, 1U);
    m_failures = 0;
}

void connect_limiter::failed(random_source& random, time_point now)
{
    m_connecting -= std::min(m_connecting, 1U);
    const std::uint32_t doublings = std::min(m_failures, max_doublings);
    m_failures += 1;
    const duration mean = m_settings.initial_backoff * (1U << doublings);
    back_off(std::min(mean, m_settings.max_backoff), random, now);
}

void connect_limiter::lost(random_source& random, time_point now)
{
    if (m_failures == 0 && now >= m_not_before) {
        back_off(m_settings.initial_backoff, random, now);
    }
}

void connect_limiter::back_off(duration mean, random_source& random, time_point now)
{
    // Uniform in [0, 2 * mean]: the widest interval that keeps the mean.
    const time_point until = now + random.between(duration{0}, 2 * mean);
    m_not_before = std::max(m_not_before, until);
}

} // namespace gypsumstep::admission
