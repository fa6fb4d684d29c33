// Servers that fail, lose or do not answer requests: which are avoided, and which reads are retried
// elsewhere.
#include "gypsumstep/proxy/proxy.h"

#include <algorithm>

namespace gypsumstep::proxy {
namespace {

using detail::connection_phase;

/// Maximum number of times that a read is retried on another server after a server failed it, lost
/// it or did not answer.
constexpr std::uint32_t max_read_retries = 2;

} // namespace

void proxy::record_outcome(backend_server& server, dispatch::request_outcome outcome,
                           time_point now)
{
    if (!m_options.adapts_to_uneven_servers) {
        return;
    }
    server.outcomes.on_outcome(outcome, now);
    report_avoidance(server);
}

void proxy::record_answer(const server_connection& connection, const statement::answer& content,
                          time_point now)
{
    backend_server& server = *find_server(connection.server);
    using enum dispatch::request_outcome;
    switch (connection.phase) {
    case connection_phase::opening:
        // A server that accepts connections may still fail what they send, so this is no success.
        if (!content.ok() && content.error != error_class::too_many) {
            record_outcome(server, not_reached, now);
        }
        return;
    case connection_phase::running:
        if (content.error == error_class::failed) {
            record_outcome(server, failed, now);
        }
        else if (content.error == error_class::busy) {
            record_outcome(server, overloaded, now);
        }
        else {
            record_outcome(server, answered, now);
        }
        return;
    default:
        return;
    }
}

void proxy::record_sign_of_life(backend_server& server)
{
    if (server.outcomes.is_silent()) {
        server.outcomes.on_sign_of_life();
        request_tick(tick_need::soon);
    }
}

void proxy::report_avoidance(backend_server& server)
{
    const dispatch::server_outcomes& outcomes = server.outcomes;
    if (outcomes.is_avoided() == server.reported_avoided) {
        return;
    }
    server.reported_avoided = outcomes.is_avoided();
    log_decision(
        importance::notice,
        outcomes.is_avoided() ? "avoiding a backend server" : "a backend server is used again", "",
        {{"server", server.entry.name},
         {"service", server.service},
         {"cause", outcomes.is_silent() ? "silent" : "failures"},
         {"failure_share", std::to_string(outcomes.failure_share())},
         {"needed_successes", std::to_string(outcomes.missing_successes())}});
}

bool proxy::has_unanswered(const backend_server& server) const
{
    return std::any_of(server.connections.begin(), server.connections.end(),
                       [&](server_connection_id id) {
                           switch (m_connections.at(id)->phase) {
                           case connection_phase::idle:
                           case connection_phase::idle_in_transaction:
                           case connection_phase::backing_off:
                               return false;
                           default:
                               return true;
                           }
                       });
}

bool proxy::is_avoided_for(const database_group& group, const backend_server& server,
                           const task& work, time_point now) const
{
    if (!server.outcomes.is_avoided() || server.outcomes.may_probe(now, has_unanswered(server))) {
        return false;
    }
    bool all_avoided = true;
    for (const backend_server* const other : group.servers) {
        const directory::server_record* const record = m_directory.find(other->id);
        if (other->outcomes.is_avoided() || other->connections.empty() || record == nullptr ||
            (record->entry.draining && group.primary != other->id)) {
            continue;
        }
        all_avoided = false;
        if (!work.required_position ||
            !make_candidate(group, *other, work, now).expects_lag_refusal) {
            return true;
        }
    }
    // Without another server that can run the read, one that fails a part of its requests is better
    // than none, but not one that doesn't answer at all while lagging servers may catch up.
    return !all_avoided && server.outcomes.is_silent();
}

void proxy::check_silence(server_connection& connection, time_point now)
{
    if (!m_options.adapts_to_uneven_servers) {
        return;
    }
    backend_server& server = *find_server(connection.server);
    time_point silent_since = std::max(connection.command_sent_at, m_resumed_at);
    if (const auto last_answer = server.health.last_answer()) {
        silent_since = std::max(silent_since, *last_answer);
    }
    if (now - silent_since < dispatch::silence_limit(server.response_time.recent())) {
        return;
    }
    if (!server.outcomes.is_silent()) {
        server.outcomes.on_silence(now);
        report_avoidance(server);
    }
    move_read(connection, now);
}

bool proxy::may_restart(const task& work, const client_session& owner)
{
    // All statements of a transaction run in one transaction of a server: the first one decides
    // which, once it was sent, even if its client has seen no answer.
    return work.is_read && (!owner.open_transaction ||
                            (work.opens_transaction && work.read_only_transaction && !work.sent));
}

bool proxy::take_read_retry(database_group& group, task& work, time_point now)
{
    if (now >= work.start_deadline || work.read_retries >= max_read_retries ||
        !group.read_retries.try_take()) {
        return false;
    }
    ++work.read_retries;
    return true;
}

void proxy::restart_read(const task_ptr& work, server_id failed, time_point now)
{
    if (client_session* const owner = find_session(work->session);
        owner != nullptr && owner->open_transaction) {
        owner->open_transaction->connection.reset();
    }
    work->avoided_servers.insert(failed);
    requeue(work, duration{0}, now);
}

void proxy::move_read(server_connection& connection, time_point now)
{
    const task_ptr work = connection.work;
    if (!work || work->kind != detail::task_kind::statement) {
        return;
    }
    const client_session* const owner = find_session(work->session);
    backend_server& server = *find_server(connection.server);
    database_group& group = group_of(server.service);
    const bool has_alternative =
        std::any_of(group.servers.begin(), group.servers.end(), [&](const backend_server* other) {
            return !other->outcomes.is_avoided() && !other->connections.empty() &&
                   m_directory.find(other->id) != nullptr;
        });
    if (owner == nullptr || !has_alternative || !may_restart(*work, *owner) ||
        !take_read_retry(group, *work, now)) {
        return;
    }
    log_decision(importance::notice, "moving a read away from a silent server", work->request.id,
                 {{"server", name_of(server.id)},
                  {"sent_us_ago", std::to_string((now - connection.command_sent_at).count())},
                  {"usual_us", std::to_string(server.response_time.recent().count())}});
    connection.work.reset();
    connection.transaction_owner.reset();
    restart_read(work, server.id, now);
}

void proxy::probe_silent_primary(database_group& group, time_point now)
{
    backend_server* const primary = group.primary ? find_server(*group.primary) : nullptr;
    if (primary == nullptr || !primary->outcomes.is_silent()) {
        return;
    }
    request_tick(tick_need::running);
    // Beside a statement that only takes long, this is answered at once and ends the silence.
    if (now - group.newest_watermark_request >=
        dispatch::silence_limit(primary->response_time.recent())) {
        request_watermark(group, now, usual_account(*primary, now), now);
    }
}

} // namespace gypsumstep::proxy
