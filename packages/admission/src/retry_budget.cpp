#include "gypsumstep/admission/retry_budget.h"

#include <algorithm>

namespace gypsumstep::admission {

retry_budget::retry_budget(retry_settings settings)
    : m_settings{settings}, m_tokens{settings.highest}
{
}

void retry_budget::fresh_request()
{
    m_tokens = std::min(m_tokens + m_settings.share, m_settings.highest);
}

bool retry_budget::try_retry()
{
    if (m_tokens < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

} // namespace gypsumstep::admission
