// Connections to backend servers: each runs one command at a time; its answer decides what is
// sent next.
#include "gypsumstep/proxy/proxy.h"

#include <algorithm>

namespace gypsumstep::proxy {
namespace {

using detail::connection_phase;
using detail::task_kind;
using statement::command_kind;
using statement::transaction_state;

/// Initial and maximum backoff before the next attempt to connect to a server that did not accept
/// a connection.
constexpr duration initial_connect_backoff = 100ms;
constexpr duration max_connect_backoff = 800ms;

/// Backoff after a server refused a connection for having too many; other daemons need time to
/// close theirs.
constexpr duration too_many_connections_backoff = 150ms;

/// A server that denied being the primary isn't taken for it during this time, unless its
/// registration changes.
constexpr duration primary_denial_period = 500ms;

/// A retried read gets at least its timeout divided by this number, also if this process was
/// delayed before it was sent: what the time in the queue leaves for running a statement.
constexpr std::int64_t min_retry_divisor = 10;

} // namespace

void proxy::assign(server_connection& connection, const task_ptr& work, time_point now)
{
    connection.work = work;
    work->connection = connection.id;
    work->server = connection.server;
    if (work->kind == task_kind::statement) {
        connection.counted_as_running = true;
        ++find_server(connection.server)->running;
        on_connection_taken(connection, *work, now);
        if (work->opens_transaction) {
            connection.transaction_owner = work->session;
            find_session(work->session)->open_transaction->connection = connection.id;
        }
    }
    send_next_command(connection, now);
}

void proxy::send_next_command(server_connection& connection, time_point now)
{
    const task_ptr work = connection.work;
    statement::server_command command;
    if (work->kind == task_kind::watermark_request) {
        command.kind = command_kind::begin;
        connection.phase = connection_phase::running;
        send(connection, std::move(command), m_options.internal_command_timeout, now);
        return;
    }
    if (m_exchange && work->needs_primary) {
        if (!may_lead(*find_server(connection.server))) {
            close_connection(connection.id, "another server is to lead the group", now);
            return;
        }
        if (!is_lead_usable(group_of(work->route.service), now)) {
            if (now >= work->start_deadline) {
                close_connection(connection.id, "no permit to use the primary", now);
                return;
            }
            connection.phase = connection_phase::backing_off;
            work->not_before = now + busy_backoff;
            request_tick(tick_need::soon);
            return;
        }
    }
    client_session* const owner = find_session(work->session);
    const statement::prepared_statement* const prepared =
        work->prepared ? &*work->prepared : nullptr;
    if (auto replay = connection.replayed.next_replay(owner->state, prepared)) {
        connection.phase = connection_phase::replaying;
        send(connection, std::move(*replay), m_options.internal_command_timeout, now);
        return;
    }
    connection.phase = connection_phase::running;
    if (work->opens_transaction && !connection.in_transaction) {
        command.kind =
            work->read_only_transaction ? command_kind::begin_read_only : command_kind::begin;
        if (work->read_only_transaction) {
            command.min_position = work->required_position->position;
        }
        send(connection, std::move(command), m_options.internal_command_timeout, now);
        return;
    }
    command.id = work->request.id;
    command.text = work->request.text;
    if (prepared != nullptr) {
        command.name = connection.replayed.name_of(*prepared);
        command.value = work->request.value;
    }
    if (!owner->open_transaction && work->is_read) {
        command.min_position = work->required_position->position;
    }
    if (owner->open_transaction && !work->is_read && !work->is_commit) {
        owner->open_transaction->wrote = true;
    }
    work->sent = true;
    work->sent_at = now;
    // A read that is retried ends within the time that its first attempt had.
    const duration whole = work->route.statement_timeout;
    const duration timeout = work->read_retries == 0 && !work->hedged
                                 ? whole
                                 : std::max(work->arrived + whole - now, whole / min_retry_divisor);
    send(connection, std::move(command), timeout, now);
}

void proxy::send(server_connection& connection, statement::server_command command, duration timeout,
                 time_point now)
{
    connection.command = command;
    connection.command_sent_at = now;
    connection.deadline = now + timeout;
    request_tick(tick_need::running);
    emit(send_command{connection.id, std::move(command)});
}

void proxy::on_server_answer(server_connection_id id, statement::answer content, time_point now)
{
    server_connection* const connection = find_connection(id);
    if (connection == nullptr) {
        return;
    }
    backend_server& server = *find_server(connection->server);
    server.health.answered(now);
    record_sign_of_life(server);
    record_answer(*connection, content, now);
    if (content.position) {
        server.newest_position = std::max(server.newest_position, *content.position);
    }
    switch (connection->phase) {
    case connection_phase::opening:
        on_connection_started(*connection, content, now);
        return;
    case connection_phase::replaying:
        on_state_replayed(*connection, content, now);
        return;
    case connection_phase::running:
        if (connection->command.kind == command_kind::forward) {
            on_statement_answer(*connection, std::move(content), now);
        }
        else {
            on_transaction_begun(*connection, content, now);
        }
        return;
    case connection_phase::rolling_back:
        on_rolled_back(*connection, content, now);
        return;
    case connection_phase::surveying:
        if (connection->command.kind == statement::command_kind::resume &&
            content.error == statement::error_class::none) {
            on_resumed(group_of(server.service), server);
        }
        release(*connection, now);
        return;
    case connection_phase::idle:
    case connection_phase::idle_in_transaction:
    case connection_phase::backing_off:
        close_connection(id, "the server sent an answer to nothing", now);
        return;
    }
}

void proxy::on_connection_started(server_connection& connection, const statement::answer& content,
                                  time_point now)
{
    backend_server& server = *find_server(connection.server);
    --server.opening_connections;
    if (content.ok()) {
        server.connect_backoff = duration{0};
        on_connection_opened(server, connection, now);
        connection.phase = connection_phase::idle;
        release(connection, now);
        return;
    }
    connection.phase = connection_phase::rolling_back;
    if (content.error == error_class::too_many) {
        server.connection_limit =
            std::max<std::uint32_t>(1, static_cast<std::uint32_t>(server.connections.size()) - 1);
        server.connection_limit_raised_at = now;
        on_too_many_connections(server, now);
        // Without any connection this daemon's clients can't use the server, so it retries sooner.
        const duration backoff = server.connections.size() > 1 ? too_many_connections_backoff
                                                               : too_many_connections_backoff / 3;
        server.connect_after = now + m_random.between(backoff, backoff * 2);
    }
    else {
        server.health.failed(now);
        server.connect_after = now + max_connect_backoff;
    }
    log_decision(importance::failure, "a backend server refused a connection", "",
                 {{"server", name_of(connection.server)},
                  {"class", statement::to_string(content.error)},
                  {"text", content.error_text},
                  {"open_links", std::to_string(server.connections.size() - 1)}});
    close_connection(connection.id, "the server refused the connection", now);
}

void proxy::on_state_replayed(server_connection& connection, const statement::answer& content,
                              time_point now)
{
    if (!content.ok()) {
        close_connection(connection.id, "the server refused a session value or prepared statement",
                         now);
        return;
    }
    connection.replayed.on_acknowledged(connection.command);
    if (connection.work) {
        send_next_command(connection, now);
        return;
    }
    roll_back(connection, now);
}

void proxy::on_transaction_begun(server_connection& connection, const statement::answer& content,
                                 time_point now)
{
    backend_server& server = *find_server(connection.server);
    database_group& group = group_of(server.service);
    const bool is_read_write = connection.command.kind == command_kind::begin;
    if (content.ok()) {
        connection.in_transaction = true;
        if (is_read_write) {
            add_watermark(group, connection, content, connection.command_sent_at, now);
        }
        if (connection.work && connection.work->kind == task_kind::statement) {
            send_next_command(connection, now);
            return;
        }
        if (connection.work) {
            finish_watermark_request(group);
        }
        roll_back(connection, now);
        dispatch(group, now);
        return;
    }
    duration backoff{0};
    switch (content.error) {
    case error_class::read_only:
        on_primary_denied(group, server, now);
        break;
    case error_class::lagging:
        on_position_refused(group, server, connection.work, now);
        break;
    default:
        backoff = busy_backoff;
        server.avoid_until = now + busy_backoff;
        break;
    }
    if (const task_ptr work = std::exchange(connection.work, nullptr)) {
        if (client_session* const owner = find_session(work->session);
            owner != nullptr && owner->open_transaction) {
            owner->open_transaction->connection.reset();
        }
        if (content.error == error_class::failed && !work->needs_primary) {
            work->avoided_servers.insert(server.id);
        }
        requeue(work, backoff, now);
    }
    if (content.state == transaction_state::idle) {
        release(connection, now);
    }
    else {
        close_connection(connection.id, "the server refused to begin a transaction", now);
    }
}

void proxy::on_primary_denied(database_group& group, backend_server& server, time_point now)
{
    log_decision(importance::notice, "a server denied being the primary", "",
                 {{"service", group.service},
                  {"server", name_of(server.id)},
                  {"term", std::to_string(group.primary_term.value())}});
    server.not_primary_until = now + primary_denial_period;
    choose_primary(group, now);
    emit(refresh_servers{});
}

void proxy::on_position_refused(database_group& group, backend_server& server, const task_ptr& work,
                                time_point now)
{
    if (group.primary == server.id) {
        // The primary's own log lacks the position: a promotion rolled it back.
        group.watermarks.clear();
        return;
    }
    if (work && work->required_position) {
        server.lag.on_refused(now - work->required_position->as_of, now);
    }
}

void proxy::add_watermark(database_group& group, const server_connection& connection,
                          const statement::answer& content, time_point sent_at, time_point now)
{
    if (!content.position) {
        return;
    }
    group.watermarks.add({*content.position, sent_at}, now);
    if (content.position->entry_term >= group.primary_term && group.primary != connection.server &&
        may_lead(*find_server(connection.server))) {
        set_primary(group, connection.server);
        log_decision(importance::notice, "a server proved to be the primary", "",
                     {{"service", group.service},
                      {"server", name_of(connection.server)},
                      {"position", to_string(*content.position)}});
    }
    group.primary_term = std::max(group.primary_term, content.position->entry_term);
}

void proxy::on_rolled_back(server_connection& connection, const statement::answer& content,
                           time_point now)
{
    if (!content.ok() || content.state != transaction_state::idle) {
        close_connection(connection.id, "the server did not roll back", now);
        return;
    }
    connection.in_transaction = false;
    release(connection, now);
}

void proxy::roll_back(server_connection& connection, time_point now)
{
    connection.work.reset();
    connection.transaction_owner.reset();
    if (!connection.in_transaction) {
        release(connection, now);
        return;
    }
    if (connection.counted_as_running) {
        connection.counted_as_running = false;
        --find_server(connection.server)->running;
    }
    connection.phase = connection_phase::rolling_back;
    statement::server_command command;
    command.kind = command_kind::rollback;
    send(connection, std::move(command), m_options.internal_command_timeout, now);
}

void proxy::release(server_connection& connection, time_point now)
{
    backend_server& server = *find_server(connection.server);
    if (connection.counted_as_running) {
        connection.counted_as_running = false;
        --server.running;
    }
    on_connection_returned(connection, now);
    connection.phase = connection_phase::idle;
    connection.idle_since = now;
    connection.work.reset();
    connection.transaction_owner.reset();
    if (m_directory.find(server.id) == nullptr && !is_being_released(server)) {
        close_connection(connection.id, "the server is gone", now);
        return;
    }
    dispatch(group_of(server.service), now);
}

void proxy::close_connection(server_connection_id id, const std::string& cause, time_point now)
{
    server_connection* const connection = find_connection(id);
    if (connection == nullptr) {
        return;
    }
    emit(close_server_connection{id});
    on_connection_lost(*connection, cause, now);
}

void proxy::on_server_connection_closed(server_connection_id id, const std::string& cause,
                                        time_point now)
{
    server_connection* const connection = find_connection(id);
    if (connection == nullptr) {
        return;
    }
    backend_server& server = *find_server(connection->server);
    server.health.failed(now);
    record_outcome(server,
                   connection->phase == connection_phase::opening
                       ? dispatch::request_outcome::not_reached
                       : dispatch::request_outcome::lost,
                   now);
    request_tick(tick_need::soon);
    if (connection->phase == connection_phase::opening) {
        --server.opening_connections;
        server.connect_backoff = server.connect_backoff == duration{0}
                                     ? initial_connect_backoff
                                     : std::min(server.connect_backoff * 2, max_connect_backoff);
        server.connect_after =
            now + m_random.between(server.connect_backoff / 2, server.connect_backoff);
    }
    log_decision(importance::failure, "lost a connection to a backend server", "",
                 {{"server", name_of(connection->server)},
                  {"service", server.service},
                  {"cause", cause},
                  {"failing_us", std::to_string(server.health.failing_for(now).count())}});
    on_connection_lost(*connection, cause, now);
}

void proxy::on_connection_lost(server_connection& connection, const std::string& cause,
                               time_point now)
{
    const task_ptr work = std::exchange(connection.work, nullptr);
    backend_server& server = *find_server(connection.server);
    const std::string service = server.service;
    if (connection.counted_as_running) {
        --server.running;
    }
    const bool timed_out = now >= connection.deadline;
    server.connections.erase(connection.id);
    const server_connection_id lost_connection = connection.id;
    const server_id lost_server = connection.server;
    m_connections.erase(lost_connection);
    if (!work) {
        return;
    }
    client_session* const owner = find_session(work->session);
    // A statement may be retried on another connection only if no earlier statement of its
    // transaction ran on this one.
    const bool may_retry =
        work->opens_transaction || owner == nullptr || !owner->open_transaction.has_value();
    if (work->kind == task_kind::watermark_request || (!work->sent && may_retry)) {
        if (owner != nullptr && owner->open_transaction) {
            owner->open_transaction->connection.reset();
        }
        requeue(work, busy_backoff, now);
        return;
    }
    if (owner == nullptr) {
        return;
    }
    log_decision(importance::failure, "lost the server while a statement ran", work->request.id,
                 {{"service", service},
                  {"server", name_of(lost_server)},
                  {"cause", cause},
                  {"sent_us_ago", std::to_string((now - work->sent_at).count())}});
    const bool wrote = may_have_committed(*work, *owner);
    if (!timed_out && may_restart(*work, *owner) &&
        take_read_retry(group_of(service), *work, now)) {
        restart_read(work, lost_server, now);
        dispatch(group_of(service), now);
        return;
    }
    if (owner->open_transaction) {
        owner->open_transaction->connection.reset();
    }
    if (wrote) {
        refuse(work, timed_out ? error_class::timeout : error_class::outcome_unknown,
               "no answer; the write may have run", now);
        return;
    }
    refuse(work, error_class::aborted, "the server did not answer; nothing is kept", now);
}

} // namespace gypsumstep::proxy
