#include "gypsumstep/admission/retry_budget.h"

#include <algorithm>

namespace gypsumstep::admission {

retry_budget::retry_budget(retry_settings settings) : m_settings{settings}
{
    m_tokens.fill(settings.max_tokens);
}

void retry_budget::fresh_request(rank level)
{
    double& tokens = m_tokens[index_of(level)];
    tokens = std::min(tokens + m_settings.share, m_settings.max_tokens);
}

bool retry_budget::try_retry(rank level)
{
    double& tokens = m_tokens[index_of(level)];
    if (tokens < 1.0) {
        return false;
    }
    tokens -= 1.0;
    return true;
}

} // namespace gypsumstep::admission
