#include "gypsumstep/promotion/server_health.h"

#include <algorithm>

namespace gypsumstep::promotion {

void server_health::answered(time_point now)
{
    m_last_answer = now;
    m_failing_since.reset();
}

void server_health::failed(time_point now)
{
    if (!m_failing_since) {
        m_failing_since = now;
    }
}

void server_health::waiting_since(time_point sent_at, time_point now)
{
    time_point silent_since = sent_at;
    if (m_last_answer) {
        silent_since = std::max(silent_since, *m_last_answer);
    }
    if (m_resumed_at) {
        silent_since = std::max(silent_since, *m_resumed_at);
    }
    if (now - silent_since >= silence_timeout && !m_failing_since) {
        m_failing_since = silent_since;
    }
}

void server_health::resumed(time_point now)
{
    m_failing_since.reset();
    m_resumed_at = now;
}

duration server_health::failing_for(time_point now) const
{
    return m_failing_since ? now - *m_failing_since : duration{0};
}

} // namespace gypsumstep::promotion
