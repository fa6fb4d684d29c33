#include "gypsumstep/admission/reconnect_ration.h"

#include <algorithm>

namespace gypsumstep::admission {

namespace {

constexpr std::uint32_t highest_doublings = 16;

} // namespace

reconnect_ration::reconnect_ration(reconnect_settings settings) : m_settings{settings} {}

bool reconnect_ration::try_open(time_point now)
{
    if (now < m_not_before || m_opening >= m_settings.highest_opening) {
        return false;
    }
    m_opening += 1;
    return true;
}

void reconnect_ration::opened()
{
    m_opening -= std::min(m_opening, 1U);
    m_failures = 0;
}

void reconnect_ration::failed(random_source& random, time_point now)
{
    m_opening -= std::min(m_opening, 1U);
    const std::uint32_t doublings = std::min(m_failures, highest_doublings);
    m_failures += 1;
    const duration mean = m_settings.first_delay * (1U << doublings);
    back_off(std::min(mean, m_settings.longest_delay), random, now);
}

void reconnect_ration::lost(random_source& random, time_point now)
{
    if (m_failures == 0 && now >= m_not_before) {
        back_off(m_settings.first_delay, random, now);
    }
}

void reconnect_ration::back_off(duration mean, random_source& random, time_point now)
{
    // Uniform around the mean: the same mean as without jitter, spread over the
    // widest interval.
    const time_point until = now + random.between(duration{0}, 2 * mean);
    m_not_before = std::max(m_not_before, until);
}

} // namespace gypsumstep::admission
