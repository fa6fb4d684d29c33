// Completion of statements: answers, retries of statements that did not run, outcomes.
#include "gypsumstep/proxy/proxy.h"

#include <algorithm>

namespace gypsumstep::proxy {
namespace {

using detail::connection_phase;
using statement::transaction_state;

/// Maximum number of retries of a statement whose answers say that it did not run.
constexpr std::uint32_t max_attempts = 30;

/// Share of reads that may be sent to a second server (hedged), and the maximum number of such
/// reads that may be saved up.
constexpr double hedge_share = 0.05;
constexpr double max_hedge_credit = 5.0;

/// One in this many successful statements is logged.
constexpr std::uint64_t success_log_interval = 64;

} // namespace

void proxy::on_statement_answer(server_connection& connection, statement::answer content,
                                time_point now)
{
    const task_ptr work = connection.work;
    if (content.state == transaction_state::idle) {
        connection.in_transaction = false;
    }
    if (!work) {
        // The client disconnected, or another server answered a hedged read first.
        if (content.state == transaction_state::idle) {
            release(connection, now);
        }
        else {
            connection.in_transaction = true;
            roll_back(connection, now);
        }
        return;
    }
    backend_server& server = *find_server(connection.server);
    const duration run_time = now - work->sent_at;
    database_group& group = group_of(server.service);
    server.response_time.on_measured(run_time, now, group.locality.is_quiet(now));
    if (work->sent_away) {
        group.locality.on_answer_from_away(far_server_of(server, false, now), now);
    }
    group.estimate.on_completed(run_time);
    group.queue.finished(*work, run_time);
    if (content.ok()) {
        on_success(connection, work, std::move(content), now);
        return;
    }
    const client_session& owner = *find_session(work->session);
    if (owner.open_transaction) {
        if (!retry_in_transaction(connection, work, content, now)) {
            fail_in_transaction(connection, work, std::move(content), now);
        }
        return;
    }
    if (retry_not_run(connection, work, content, now)) {
        return;
    }
    const bool clean = content.state == transaction_state::idle;
    const server_connection_id id = connection.id;
    connection.work.reset();
    finish(work, std::move(content), false, now);
    if (server_connection* const open_connection = find_connection(id)) {
        if (clean) {
            release(*open_connection, now);
        }
        else {
            close_connection(id, "the server left a transaction open", now);
        }
    }
}

void proxy::on_success(server_connection& connection, const task_ptr& work,
                       statement::answer content, time_point now)
{
    client_session& owner = *find_session(work->session);
    backend_server& server = *find_server(connection.server);
    database_group& group = group_of(server.service);
    const bool on_replica = group.primary != connection.server;
    const bool in_transaction = owner.open_transaction.has_value();
    const bool committed_write =
        in_transaction ? work->is_commit && owner.open_transaction->wrote : !work->is_read;
    if (committed_write && !may_lead(server) && !is_kept(group, server.id, content)) {
        on_commit_in_doubt(connection, work, now);
        return;
    }
    if (committed_write) {
        add_watermark(group, connection, content, work->sent_at, now);
        owner.last_commits.insert_or_assign(group.service,
                                            detail::session_commit{content.position, now});
    }
    if (work->is_read && !in_transaction) {
        m_hedge_credit = std::min(m_hedge_credit + hedge_share, max_hedge_credit);
        group.read_retries.on_success();
        if (work->required_position) {
            server.lag.on_served(work->sent_at - work->required_position->as_of);
        }
    }
    const server_connection_id id = connection.id;
    connection.work.reset();
    if (in_transaction && !work->is_commit) {
        connection.phase = connection_phase::idle_in_transaction;
        connection.in_transaction = true;
        if (connection.counted_as_running) {
            connection.counted_as_running = false;
            --server.running;
        }
        finish(work, std::move(content), on_replica, now);
        dispatch(group, now);
        return;
    }
    if (work->is_commit) {
        owner.open_transaction.reset();
    }
    const bool clean = content.state == transaction_state::idle;
    finish(work, std::move(content), on_replica, now);
    if (server_connection* const open_connection = find_connection(id)) {
        if (clean) {
            release(*open_connection, now);
        }
        else {
            close_connection(id, "the server left a transaction open", now);
        }
    }
}

void proxy::on_commit_in_doubt(server_connection& connection, const task_ptr& work, time_point now)
{
    const server_connection_id id = connection.id;
    connection.work.reset();
    refuse(work, error_class::outcome_unknown,
           "the server was replaced meanwhile; the write may be lost", now);
    close_connection(id, "another server is to lead the group", now);
}

bool proxy::retry_not_run(server_connection& connection, const task_ptr& work,
                          const statement::answer& content, time_point now)
{
    if (content.state != transaction_state::idle || now >= work->start_deadline ||
        work->attempts >= max_attempts) {
        return false;
    }
    backend_server& server = *find_server(connection.server);
    database_group& group = group_of(server.service);
    duration backoff{0};
    switch (content.error) {
    case error_class::busy:
        backoff = busy_backoff;
        server.avoid_until = now + busy_backoff;
        break;
    case error_class::lagging:
        if (!work->required_position) {
            return false;
        }
        on_position_refused(group, server, work, now);
        break;
    case error_class::read_only:
        on_primary_denied(group, server, now);
        break;
    case error_class::unknown_name:
        if (!work->prepared) {
            return false;
        }
        ++work->attempts;
        connection.replayed.forget(*work->prepared);
        work->sent = false;
        send_next_command(connection, now);
        return true;
    case error_class::failed:
        if (!work->is_read || !take_read_retry(group, *work, now)) {
            return false;
        }
        work->avoided_servers.insert(server.id);
        break;
    default:
        return false;
    }
    connection.work.reset();
    requeue(work, backoff, now);
    release(connection, now);
    return true;
}

bool proxy::retry_in_transaction(server_connection& connection, const task_ptr& work,
                                 const statement::answer& content, time_point now)
{
    if (content.state != transaction_state::open || now >= work->start_deadline ||
        work->attempts >= max_attempts) {
        return false;
    }
    if (content.error == error_class::busy) {
        ++work->attempts;
        work->sent = false;
        work->not_before = now + busy_backoff;
        connection.phase = connection_phase::backing_off;
        request_tick(tick_need::soon);
        return true;
    }
    if (content.error == error_class::unknown_name && work->prepared) {
        ++work->attempts;
        work->sent = false;
        connection.replayed.forget(*work->prepared);
        send_next_command(connection, now);
        return true;
    }
    return false;
}

void proxy::fail_in_transaction(server_connection& connection, const task_ptr& work,
                                statement::answer content, time_point now)
{
    client_session& owner = *find_session(work->session);
    database_group& group = group_of(work->route.service);
    if (content.error == error_class::read_only) {
        on_primary_denied(group, *find_server(connection.server), now);
    }
    const server_connection_id id = connection.id;
    connection.work.reset();
    connection.transaction_owner.reset();
    const bool outcome_unknown_to_client = work->is_commit && owner.open_transaction->wrote &&
                                           !statement::guarantees_no_effect(content.error);
    const bool client_fault =
        content.error == error_class::malformed || content.error == error_class::other;
    if (!outcome_unknown_to_client && !client_fault &&
        !statement::guarantees_no_effect(content.error)) {
        // Nothing was committed, and the proxy rolls the transaction back.
        content.error = error_class::aborted;
        content.error_code.clear();
    }
    if (work->is_commit) {
        owner.open_transaction.reset();
        // A refused commit may have left the transaction open.
        close_connection(id, "the server refused a commit", now);
    }
    else {
        owner.open_transaction->failed = true;
        owner.open_transaction->connection.reset();
        connection.in_transaction = true;
        roll_back(connection, now);
    }
    finish(work, std::move(content), false, now);
}

void proxy::finish(const task_ptr& work, statement::answer content, bool on_replica, time_point now)
{
    client_session* const owner = find_session(work->session);
    if (owner == nullptr) {
        return;
    }
    owner->running.reset();
    owner->idle_since = now;
    if (owner->open_transaction) {
        owner->open_transaction->last_used = now;
    }
    const bool ok = content.ok();
    if (!ok || ++m_finished_statements % success_log_interval == 0) {
        log_decision(
            ok ? importance::sampled : importance::failure,
            ok ? "answered a statement" : "answered a statement with an error", work->request.id,
            {{"service", work->route.service},
             {"database", work->route.database},
             {"statement", statement::to_string(work->request.kind)},
             {"class", statement::to_string(content.error)},
             {"attempts", std::to_string(work->attempts + 1)},
             {"took_us", std::to_string((now - work->arrived).count())},
             {"sent", work->sent ? "true" : "false"},
             {"server", work->server == server_id{} ? "" : name_of(work->server)},
             {"read_age_us", work->required_position
                                 ? std::to_string((now - work->required_position->as_of).count())
                                 : ""},
             {"configuration", std::to_string(m_routes.version().value())}});
    }
    const auto server = m_servers.find(work->server);
    const bool was_read = ok && work->is_read && work->sent && server != m_servers.end();
    emit(statement_finished{work->route.read_consistency, content.error, now - work->arrived,
                            on_replica,
                            was_read ? std::optional{server->second->distance} : std::nullopt,
                            was_read && work->sent_away});
    answer(*owner, std::move(content));
    run_next_pipelined(*owner, now);
    on_session_answered(owner->id, now);
}

void proxy::refuse(const task_ptr& work, error_class kind, const std::string& text, time_point now)
{
    if (client_session* const owner = find_session(work->session);
        owner != nullptr && owner->open_transaction) {
        if (work->is_commit) {
            owner->open_transaction.reset();
        }
        else {
            owner->open_transaction->failed = true;
        }
    }
    statement::answer content;
    content.error = kind;
    content.error_text = text;
    finish(work, std::move(content), false, now);
}

void proxy::finish_watermark_request(database_group& group)
{
    group.watermark_requests -= group.watermark_requests > 0 ? 1 : 0;
}

} // namespace gypsumstep::proxy
