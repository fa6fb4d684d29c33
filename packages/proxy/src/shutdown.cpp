// Shutdown: closes sessions so that no statement is left without an answer.
#include "gypsumstep/proxy/proxy.h"

#include <algorithm>

namespace gypsumstep::proxy {

void proxy::begin_shutdown(time_point now)
{
    if (m_shutdown) {
        return;
    }
    m_shutdown.emplace(now, m_options.shutdown_grace);
    request_tick(tick_need::soon);
    for (auto& [id, session] : m_sessions) {
        session->close_at = now + m_random.between(duration{0}, session_close_window);
    }
}

void proxy::refuse_in_shutdown(client_session& session, const statement::statement& request,
                               time_point now)
{
    log_decision(
        importance::failure, "refused a statement: the process stops", request.id,
        {{"database", session.database}, {"statement", statement::to_string(request.kind)}});
    answer_error(session, error_class::busy, "this daemon shuts down; reconnect");
    on_session_answered(session.id, now);
}

bool proxy::may_close(const client_session& session, time_point now) const
{
    if (!m_shutdown || session.running || !session.pipelined.empty()) {
        return false;
    }
    return session.open_transaction ? m_shutdown->ends_transactions(now) : now >= session.close_at;
}

void proxy::on_session_answered(session_id id, time_point now)
{
    if (m_shutdown) {
        m_answered_sessions.emplace_back(id, now);
    }
}

void proxy::close_answered_sessions()
{
    // A client sends its next statement after an answer, so that none is on its way now.
    while (!m_answered_sessions.empty()) {
        const auto [id, now] = m_answered_sessions.back();
        m_answered_sessions.pop_back();
        const client_session* const session = find_session(id);
        if (session != nullptr && may_close(*session, now)) {
            emit(close_session{id});
            on_client_closed(id, now);
        }
    }
}

void proxy::continue_shutdown(time_point now)
{
    const bool over = m_shutdown->is_over(now);
    std::vector<session_id> closing;
    std::vector<session_id> unanswered;
    for (const auto& [id, session] : m_sessions) {
        if (session->running) {
            unanswered.push_back(id);
        }
        else if (may_close(*session, now) && (session->open_transaction ||
                                              now - session->idle_since >= min_idle_before_close)) {
            closing.push_back(id);
        }
    }
    for (const session_id id : closing) {
        emit(close_session{id});
        on_client_closed(id, now);
    }
    if (over) {
        for (const session_id id : unanswered) {
            if (client_session* const session = find_session(id);
                session != nullptr && session->running) {
                answer_running_statement(*session, now);
            }
        }
    }
    const bool ended = m_sessions.empty() && now >= m_shutdown->close_window_end();
    if (!m_shutdown_reported && (ended || over)) {
        m_shutdown_reported = true;
        emit(shutdown_complete{});
    }
}

void proxy::answer_running_statement(client_session& session, time_point now)
{
    const task_ptr work = session.running;
    log_decision(importance::failure, "ended a statement that had no answer: the process stops",
                 work->request.id,
                 {{"service", work->route.service},
                  {"queued", work->queued ? "true" : "false"},
                  {"sent", work->sent ? "true" : "false"},
                  {"waited_us", std::to_string((now - work->arrived).count())}});
    const bool queued = work->queued;
    const bool unknown = !queued && may_have_committed(*work, session);
    abandon_task(work);
    if (session.open_transaction) {
        session.open_transaction->connection.reset();
    }
    if (queued) {
        refuse(work, error_class::busy, "this daemon shuts down; reconnect", now);
    }
    else if (unknown) {
        refuse(work, error_class::outcome_unknown, "this daemon shuts down; the write may have run",
               now);
    }
    else {
        refuse(work, error_class::aborted, "this daemon shuts down; nothing is kept", now);
    }
}

} // namespace gypsumstep::proxy
