// Client sessions: statements that the proxy answers itself, and statements that become tasks
// for a server.
#include "gypsumstep/proxy/proxy.h"

#include <algorithm>

namespace gypsumstep::proxy {
namespace {

using statement::transaction_state;
using statement::verb;

/// Share of a statement's timeout that it may spend in the queue; the rest is left for running it.
constexpr double max_queueing_share = 0.9;

duration max_queueing_time(const directory::route& route)
{
    return std::chrono::duration_cast<duration>(route.statement_timeout * max_queueing_share);
}

/// Extends \p bound by a commit of the read's own session.
void require_own_commit(freshness::read_bound& bound, const detail::session_commit& commit)
{
    if (commit.position) {
        bound.own_commit = commit.position;
        bound.own_commit_at = commit.acknowledged_at;
        return;
    }
    // Without its position, only a watermark that was requested later is sure to include it.
    bound.acknowledged_before = std::max(bound.acknowledged_before, commit.acknowledged_at);
}

} // namespace

void proxy::on_client_connected(session_id id, time_point now)
{
    auto session = std::make_unique<client_session>();
    session->id = id;
    session->idle_since = now;
    if (m_shutdown) {
        session->close_at = m_shutdown->close_window_end();
    }
    m_sessions.emplace(id, std::move(session));
}

void proxy::on_client_start(session_id id, const std::string& database,
                            const std::optional<accounts::key_digest>& key, time_point now)
{
    client_session* const session = find_session(id);
    if (session == nullptr) {
        return;
    }
    statement::answer content;
    if (!session->database.empty()) {
        content.error = error_class::malformed;
        content.error_text = "the session was started already";
    }
    else if (!m_routes.loaded()) {
        content.error = error_class::busy;
        content.error_text = "no configuration is in force yet";
    }
    else if (m_routes.find(database) == nullptr) {
        content.error = error_class::unknown_database;
        content.error_text = "no route has this database";
        log_decision(importance::failure, "refused a session: no route has its database", "",
                     {{"database", database},
                      {"configuration", std::to_string(m_routes.version().value())}});
    }
    else if (!authorize(*m_routes.find(database), key).granted) {
        content.error = error_class::unauthorized;
        content.error_text = "the key is not known";
        log_decision(importance::failure, "refused a session: its key is of no client account", "",
                     {{"database", database},
                      {"has_key", key ? "true" : "false"},
                      {"configuration", std::to_string(m_routes.version().value())}});
    }
    const bool ok = content.ok();
    emit(send_start_answer{id, std::move(content)});
    if (!ok) {
        emit(close_session{id});
        on_client_closed(id, now);
        return;
    }
    session->database = database;
    session->key = key;
    session->idle_since = now;
}

directory::authorization proxy::authorize(const directory::route& used,
                                          const std::optional<accounts::key_digest>& key) const
{
    return directory::authorize(m_routes.current(), used, key, m_options.accounts_required);
}

void proxy::refuse_operation(session_id id, const std::string& text, time_point now)
{
    if (client_session* const session = find_session(id)) {
        session->idle_since = now;
        answer_error(*session, error_class::busy, text);
        on_session_answered(id, now);
    }
}

bool proxy::is_running_statement(session_id id) const
{
    const auto found = m_sessions.find(id);
    return found != m_sessions.end() && found->second->running;
}

std::optional<std::string> proxy::account_of_operation(session_id id, verb kind) const
{
    const auto found = m_sessions.find(id);
    if (found == m_sessions.end() || found->second->open_transaction ||
        !statement::starts_operation(kind)) {
        return std::nullopt;
    }
    const client_session& session = *found->second;
    const directory::route* const route = m_routes.find(session.database);
    if (route == nullptr) {
        return std::nullopt;
    }
    directory::authorization checked = authorize(*route, session.key);
    return checked.granted ? std::optional{std::move(checked.account)} : std::nullopt;
}

std::optional<std::string> proxy::account_for(client_session& session, const directory::route& used,
                                              const std::string& request)
{
    directory::authorization checked = authorize(used, session.key);
    if (checked.granted) {
        return std::move(checked.account);
    }
    log_decision(importance::failure, "refused an operation: its key was removed", request,
                 {{"database", session.database},
                  {"configuration", std::to_string(m_routes.version().value())}});
    answer_error(session, error_class::unauthorized, "the key is not known any more");
    return std::nullopt;
}

std::size_t proxy::session_state_bytes(session_id id) const
{
    const auto found = m_sessions.find(id);
    return found == m_sessions.end() ? 0 : found->second->state.bytes();
}

void proxy::on_client_statement(session_id id, statement::statement request, time_point now)
{
    client_session* const session = find_session(id);
    if (session == nullptr) {
        return;
    }
    if (session->database.empty()) {
        emit(close_session{id});
        on_client_closed(id, now);
        return;
    }
    if (session->running) {
        if (session->pipelined.size() >= m_options.max_pipelined) {
            log_decision(importance::failure, "closed a session that sent too far ahead",
                         request.id, {});
            emit(close_session{id});
            on_client_closed(id, now);
            return;
        }
        session->pipelined.push_back(std::move(request));
        return;
    }
    handle_statement(*session, request, now);
}

void proxy::run_next_pipelined(client_session& session, time_point now)
{
    while (!session.running && !session.pipelined.empty()) {
        const statement::statement next = std::move(session.pipelined.front());
        session.pipelined.pop_front();
        handle_statement(session, next, now);
    }
}

void proxy::handle_statement(client_session& session, const statement::statement& request,
                             time_point now)
{
    session.idle_since = now;
    if (session.open_transaction) {
        session.open_transaction->last_used = now;
    }
    if (m_shutdown && !session.open_transaction && m_shutdown->refuses(request.kind, now)) {
        refuse_in_shutdown(session, request, now);
        return;
    }
    const bool failed = session.open_transaction && session.open_transaction->failed;
    switch (request.kind) {
    case verb::rollback:
    case verb::commit:
        end_transaction(session, request, now);
        return;
    case verb::unknown:
        answer_error(session, error_class::malformed, "unknown statement");
        return;
    default:
        break;
    }
    if (failed) {
        answer_error(session, error_class::malformed, "the transaction failed; roll it back");
        return;
    }
    switch (request.kind) {
    case verb::begin:
    case verb::begin_read_only:
        begin_transaction(session, request, request.kind == verb::begin_read_only);
        return;
    case verb::set:
    case verb::prepare:
    case verb::close:
        set_session_state(session, request);
        return;
    default:
        run_statement(session, request, now);
        return;
    }
}

void proxy::begin_transaction(client_session& session, const statement::statement& request,
                              bool read_only)
{
    if (session.open_transaction) {
        answer_error(session, error_class::malformed, "a transaction is open already");
        return;
    }
    const directory::route* const route = m_routes.find(session.database);
    if (route == nullptr) {
        log_decision(importance::failure, "refused a transaction: its route was removed",
                     request.id,
                     {{"database", session.database},
                      {"configuration", std::to_string(m_routes.version().value())}});
        answer_error(session, error_class::unknown_database, "the route was removed");
        return;
    }
    auto account = account_for(session, *route, request.id);
    if (!account) {
        return;
    }
    // The transaction begins on a server only with its first statement, so that a client that
    // is idle before then holds no server connection.
    detail::client_transaction opened;
    opened.read_only = read_only;
    opened.route = *route;
    opened.account = std::move(*account);
    opened.last_used = session.idle_since;
    session.open_transaction = std::move(opened);
    answer_done(session);
}

void proxy::end_transaction(client_session& session, const statement::statement& request,
                            time_point now)
{
    if (!session.open_transaction) {
        answer_error(session, error_class::malformed, "no transaction is open");
        return;
    }
    const bool commit = request.kind == verb::commit;
    if (commit && !session.open_transaction->failed) {
        run_statement(session, request, now);
        return;
    }
    const auto connection_id = session.open_transaction->connection;
    session.open_transaction.reset();
    if (commit) {
        answer_error(session, error_class::aborted, "the transaction failed and was rolled back");
    }
    else {
        answer_done(session);
    }
    if (server_connection* const connection =
            connection_id ? find_connection(*connection_id) : nullptr) {
        roll_back(*connection, now);
    }
}

void proxy::set_session_state(client_session& session, const statement::statement& request)
{
    switch (request.kind) {
    case verb::set:
        session.state.set_value(request.name, request.value);
        break;
    case verb::prepare:
        session.state.prepare(request.name, {request.prepared_access, request.value});
        break;
    default:
        if (!session.state.close(request.name)) {
            answer_error(session, error_class::unknown_name, "no such prepared statement");
            return;
        }
        break;
    }
    answer_done(session);
}

void proxy::run_statement(client_session& session, const statement::statement& request,
                          time_point now)
{
    const directory::route* const route = session.open_transaction
                                              ? &session.open_transaction->route
                                              : m_routes.find(session.database);
    if (route == nullptr) {
        log_decision(importance::failure, "refused a statement: its route was removed", request.id,
                     {{"database", session.database},
                      {"configuration", std::to_string(m_routes.version().value())}});
        answer_error(session, error_class::unknown_database, "the route was removed");
        return;
    }
    if (request.kind == verb::execute && session.state.find(request.name) == nullptr) {
        if (session.open_transaction) {
            session.open_transaction->failed = true;
        }
        answer_error(session, error_class::unknown_name, "no such prepared statement");
        return;
    }
    auto account = session.open_transaction ? std::optional{session.open_transaction->account}
                                            : account_for(session, *route, request.id);
    if (!account) {
        return;
    }
    const task_ptr work = make_task(session, request, *route, now);
    work->account = std::move(*account);
    session.running = work;
    if (session.open_transaction && session.open_transaction->connection) {
        run_in_transaction(session, work, now);
        return;
    }
    admit(work, now);
}

proxy::task_ptr proxy::make_task(client_session& session, const statement::statement& request,
                                 const directory::route& route, time_point now)
{
    task_ptr work{new task};
    work->session = session.id;
    work->request = request;
    work->route = route;
    work->priority = route.priority;
    work->arrived = now;
    work->start_deadline = now + max_queueing_time(route);
    work->is_commit = request.kind == verb::commit;
    if (request.kind == verb::execute) {
        work->prepared = *session.state.find(request.name);
    }
    work->is_read = request.kind == verb::read ||
                    (work->prepared && work->prepared->mode == statement::access::read);
    work->opens_transaction = session.open_transaction.has_value();
    work->read_only_transaction = session.open_transaction && session.open_transaction->read_only;
    work->needs_primary =
        session.open_transaction ? !session.open_transaction->read_only : !work->is_read;
    work->bound.acknowledged_before =
        route.read_consistency == directory::consistency::primary ? now : now - route.max_staleness;
    if (route.read_consistency == directory::consistency::read_your_writes) {
        if (const auto own = session.last_commits.find(route.service);
            own != session.last_commits.end()) {
            require_own_commit(work->bound, own->second);
        }
    }
    return work;
}

void proxy::run_in_transaction(client_session& session, const task_ptr& work, time_point now)
{
    server_connection* const connection = find_connection(*session.open_transaction->connection);
    if (connection == nullptr) {
        // The transaction's server connection was lost, and nothing was committed on it.
        const bool commit = work->is_commit;
        log_decision(importance::failure, "aborted a transaction: its server connection was lost",
                     work->request.id, {{"service", work->route.service}});
        if (commit) {
            session.open_transaction.reset();
        }
        else {
            session.open_transaction->failed = true;
            session.open_transaction->connection.reset();
        }
        refuse(work, error_class::aborted, "the server connection of the transaction was lost",
               now);
        return;
    }
    work->opens_transaction = false;
    assign(*connection, work, now);
}

void proxy::admit(const task_ptr& work, time_point now)
{
    database_group& group = group_of(work->route.service);
    if (!work->needs_primary) {
        work->required_position = group.watermarks.position_for(work->bound);
    }
    work->only_primary = runs_only_on_primary(group, *work, now);
    update_queue(group, now);
    dispatch::admission_input input;
    input.expected_wait = expected_wait(group, *work, group.queue.count_ahead(*work), now);
    input.max_wait = useful_wait(group, *work);
    if (const auto refusal = dispatch::check_admission(input)) {
        refuse_admission(group, work, input, *refusal, now);
        return;
    }
    enqueue(group, work);
    dispatch(group, now);
    request_tick(work->queued ? tick_need::soon : tick_need::running);
}

duration proxy::useful_wait(const database_group& group, const task& work) const
{
    const duration max_wait = max_queueing_time(work.route);
    if (!group.queue.is_fair()) {
        return max_wait;
    }
    return dispatch::useful_wait({max_wait, work.route.target_latency, work.opens_transaction},
                                 group.estimate.mean());
}

duration proxy::retry_after(database_group& group, const task& work, duration earliest,
                            time_point now)
{
    if (!group.queue.is_fair()) {
        return earliest;
    }
    const std::uint32_t capacity = std::max(available_capacity(group, work, now), 1U);
    return group.returns.next(work.priority, work.account, earliest,
                              group.estimate.mean() / capacity, now);
}

void proxy::refuse_admission(database_group& group, const task_ptr& work,
                             const dispatch::admission_input& input,
                             const dispatch::refusal& refusal, time_point now)
{
    const duration free_in = connection_free_in(group, *work, now);
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(
        retry_after(group, *work, refusal.retry_after, now));
    const char* cause = "refused a statement: the queue is longer than it can wait";
    if (free_in > duration{0}) {
        cause = "refused a statement: resting transactions hold the connections";
    }
    else if (input.expected_wait <= max_queueing_time(work->route)) {
        cause = "refused a statement: its answer would come after its target";
    }
    log_decision(
        importance::failure, cause, work->request.id,
        {{"service", group.service},
         {"priority", std::to_string(work->priority)},
         {"account", work->account},
         {"expected_wait_us", std::to_string(input.expected_wait.count())},
         {"patience_us", std::to_string(input.max_wait.count())},
         {"connection_free_in_us", std::to_string(free_in.count())},
         {"retry_after_ms", std::to_string(wait.count())},
         {"waiting", std::to_string(group.queue.size())},
         {"account_waiting", std::to_string(group.queue.size_of(work->priority, work->account))}});
    refuse(work, error_class::busy,
           "overloaded; retry after " + std::to_string(wait.count()) + " ms", now);
}

void proxy::on_client_closed(session_id id, time_point now)
{
    const auto found = m_sessions.find(id);
    if (found == m_sessions.end()) {
        return;
    }
    const std::unique_ptr<client_session> session = std::move(found->second);
    m_sessions.erase(found);
    if (session->running) {
        abandon_task(session->running);
    }
    else if (session->open_transaction && session->open_transaction->connection) {
        if (server_connection* const connection =
                find_connection(*session->open_transaction->connection)) {
            roll_back(*connection, now);
        }
    }
}

void proxy::abandon_task(const task_ptr& work)
{
    if (work->queued) {
        group_of(work->route.service).queue.remove(*work);
        work->queued = false;
        return;
    }
    server_connection* const connection = find_connection(work->connection);
    if (connection == nullptr || connection->work != work) {
        return;
    }
    // A statement that was already sent runs to its end. Its answer releases the connection or
    // rolls it back.
    connection->work.reset();
    connection->transaction_owner.reset();
}

bool proxy::may_have_committed(const task& work, const client_session& owner)
{
    if (!work.sent) {
        return false;
    }
    return owner.open_transaction ? work.is_commit && owner.open_transaction->wrote : !work.is_read;
}

statement::transaction_state proxy::transaction_state_of(const client_session& session) const
{
    if (!session.open_transaction) {
        return transaction_state::idle;
    }
    return session.open_transaction->failed ? transaction_state::failed : transaction_state::open;
}

void proxy::answer(client_session& session, statement::answer content)
{
    content.state = transaction_state_of(session);
    emit(send_answer{session.id, std::move(content)});
}

void proxy::answer_done(client_session& session)
{
    answer(session, {});
}

void proxy::answer_error(client_session& session, error_class kind, const std::string& text)
{
    statement::answer content;
    content.error = kind;
    content.error_text = text;
    answer(session, std::move(content));
}

} // namespace gypsumstep::proxy
