#include "gypsumstep/platform/budget.h"

#include <algorithm>

namespace gypsumstep::platform {

budget::budget(budget_limits limits) : m_limits{limits}, m_tokens{limits.burst} {}

bool budget::take(time_point now)
{
    if (now > m_refilled) {
        const std::chrono::duration<double> passed = now - m_refilled;
        m_tokens = std::min(m_limits.burst, m_tokens + passed.count() * m_limits.per_second);
        m_refilled = now;
    }
    if (m_tokens < 1.0) {
        ++m_refused;
        return false;
    }
    m_tokens -= 1.0;
    ++m_taken;
    return true;
}

duration backoff(const backoff_limits& limits, std::uint32_t attempt, random_source& random)
{
    duration bound = limits.first;
    for (std::uint32_t i = 0; i < attempt && bound < limits.most; ++i) {
        bound *= 2;
    }
    return random.between(duration{1}, std::min(bound, limits.most));
}

} // namespace gypsumstep::platform
