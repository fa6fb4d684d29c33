// Shutdown: closes sessions so that no statement is left without an answer.
#include "gypsumstep/proxy/proxy.h"

#include <algorithm>

namespace gypsumstep::proxy {
namespace {

/// The shutdown completes this long before the process would be killed.
constexpr duration shutdown_margin = 300ms;

/// Statements that arrive this late before the end of a shutdown are refused: most could not be
/// answered any more.
constexpr duration last_statement_margin = 1s;

} // namespace

void proxy::begin_shutdown(time_point now)
{
    if (m_shutdown_at) {
        return;
    }
    m_shutdown_at = now;
    request_tick(tick_need::soon);
    for (auto& [id, session] : m_sessions) {
        session->close_at = now + m_random.between(duration{0}, session_close_window);
    }
}

bool proxy::refuses_transactions(time_point now) const
{
    return m_shutdown_at && now - *m_shutdown_at >= m_options.shutdown_grace / 2;
}

bool proxy::refuses_statements(time_point now) const
{
    return m_shutdown_at && now - *m_shutdown_at >=
                                m_options.shutdown_grace - shutdown_margin - last_statement_margin;
}

void proxy::refuse_in_shutdown(client_session& session, time_point now)
{
    answer_error(session, error_class::busy, "this daemon shuts down; reconnect");
    close_when_answered(session.id, now);
}

bool proxy::may_close(const client_session& session, time_point now) const
{
    if (!m_shutdown_at || session.running || !session.pipelined.empty()) {
        return false;
    }
    return session.open_transaction ? refuses_transactions(now) : now >= session.close_at;
}

void proxy::close_when_answered(session_id id, time_point now)
{
    if (m_shutdown_at) {
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
    const duration passed = now - *m_shutdown_at;
    const bool over = passed >= m_options.shutdown_grace - shutdown_margin;
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
    if (!m_shutdown_reported && ((m_sessions.empty() && passed >= session_close_window) || over)) {
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
    // What is sent ahead is not run any more.
    session.pipelined.clear();
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
