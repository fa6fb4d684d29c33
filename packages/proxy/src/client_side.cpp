// Clients' sessions: what is answered here, and what becomes a task for a server.
#include "gypsumstep/proxy/proxy.h"

#include <algorithm>

namespace gypsumstep::proxy {
namespace {

using statement::transaction_state;
using statement::verb;

/// Share of a statement's time that it may wait; the rest is for running it.
constexpr double patient_share = 0.9;

duration patience_of(const directory::route& route)
{
    return std::chrono::duration_cast<duration>(route.statement_timeout * patient_share);
}

} // namespace

void proxy::on_client_connected(session_id id, time_point now)
{
    auto added = std::make_unique<session>();
    added->id = id;
    added->idle_since = now;
    m_sessions.emplace(id, std::move(added));
}

void proxy::on_client_start(session_id id, const std::string& database, time_point now)
{
    session* const from = find_session(id);
    if (from == nullptr) {
        return;
    }
    statement::answer content;
    if (!from->database.empty()) {
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
        note(importance::failure, "refused a session: no route has its database", "",
             {{"database", database},
              {"configuration", std::to_string(m_routes.version().value())}});
    }
    const bool ok = content.ok();
    emit(send_start_answer{id, std::move(content)});
    if (!ok) {
        emit(close_session{id});
        on_client_closed(id, now);
        return;
    }
    from->database = database;
    from->idle_since = now;
}

void proxy::on_client_statement(session_id id, statement::statement request, time_point now)
{
    session* const from = find_session(id);
    if (from == nullptr) {
        return;
    }
    if (from->database.empty()) {
        emit(close_session{id});
        on_client_closed(id, now);
        return;
    }
    if (from->running) {
        if (from->pipelined.size() >= m_options.max_pipelined) {
            note(importance::failure, "closed a session that sent too far ahead", request.id, {});
            emit(close_session{id});
            on_client_closed(id, now);
            return;
        }
        from->pipelined.push_back(std::move(request));
        return;
    }
    handle(*from, request, now);
}

void proxy::run_next_pipelined(session& from, time_point now)
{
    while (!from.running && !from.pipelined.empty()) {
        const statement::statement next = std::move(from.pipelined.front());
        from.pipelined.pop_front();
        handle(from, next, now);
    }
}

void proxy::handle(session& from, const statement::statement& request, time_point now)
{
    from.idle_since = now;
    if (from.open) {
        from.open->last_used = now;
    }
    const bool failed = from.open && from.open->failed;
    switch (request.kind) {
    case verb::rollback:
    case verb::commit:
        end_transaction(from, request, now);
        return;
    case verb::unknown:
        answer_error(from, error_class::malformed, "unknown statement");
        return;
    default:
        break;
    }
    if (failed) {
        answer_error(from, error_class::malformed, "the transaction failed; roll it back");
        return;
    }
    switch (request.kind) {
    case verb::begin:
    case verb::begin_read_only:
        begin_transaction(from, request, request.kind == verb::begin_read_only);
        return;
    case verb::set:
    case verb::prepare:
    case verb::close:
        set_session_state(from, request);
        return;
    default:
        run(from, request, now);
        return;
    }
}

void proxy::begin_transaction(session& from, const statement::statement& request, bool read_only)
{
    if (from.open) {
        answer_error(from, error_class::malformed, "a transaction is open already");
        return;
    }
    const directory::route* const route = m_routes.find(from.database);
    if (route == nullptr) {
        note(importance::failure, "refused a transaction: its route was removed", request.id,
             {{"database", from.database},
              {"configuration", std::to_string(m_routes.version().value())}});
        answer_error(from, error_class::unknown_database, "the route was removed");
        return;
    }
    // A server's transaction starts with the first statement, so that a client that rests
    // here holds no connection.
    detail::transaction opened;
    opened.read_only = read_only;
    opened.route = *route;
    opened.last_used = from.idle_since;
    from.open = std::move(opened);
    answer_done(from);
}

void proxy::end_transaction(session& from, const statement::statement& request, time_point now)
{
    if (!from.open) {
        answer_error(from, error_class::malformed, "no transaction is open");
        return;
    }
    const bool commit = request.kind == verb::commit;
    if (commit && !from.open->failed) {
        run(from, request, now);
        return;
    }
    const auto held = from.open->link;
    from.open.reset();
    if (commit) {
        answer_error(from, error_class::aborted, "the transaction failed and was rolled back");
    }
    else {
        answer_done(from);
    }
    if (link* const used = held ? find_link(*held) : nullptr) {
        roll_back(*used, now);
    }
}

void proxy::set_session_state(session& from, const statement::statement& request)
{
    switch (request.kind) {
    case verb::set:
        from.state.set_value(request.name, request.value);
        break;
    case verb::prepare:
        from.state.prepare(request.name, {request.prepared_access, request.value});
        break;
    default:
        if (!from.state.close(request.name)) {
            answer_error(from, error_class::unknown_name, "no such prepared statement");
            return;
        }
        break;
    }
    answer_done(from);
}

void proxy::run(session& from, const statement::statement& request, time_point now)
{
    const directory::route* const route =
        from.open ? &from.open->route : m_routes.find(from.database);
    if (route == nullptr) {
        note(importance::failure, "refused a statement: its route was removed", request.id,
             {{"database", from.database},
              {"configuration", std::to_string(m_routes.version().value())}});
        answer_error(from, error_class::unknown_database, "the route was removed");
        return;
    }
    if (request.kind == verb::execute && from.state.find(request.name) == nullptr) {
        if (from.open) {
            from.open->failed = true;
        }
        answer_error(from, error_class::unknown_name, "no such prepared statement");
        return;
    }
    const task_ptr work = make_task(from, request, *route, now);
    from.running = work;
    if (from.open && from.open->link) {
        run_in_transaction(from, work, now);
        return;
    }
    admit(work, now);
}

proxy::task_ptr proxy::make_task(session& from, const statement::statement& request,
                                 const directory::route& route, time_point now)
{
    task_ptr work{new task};
    work->session = from.id;
    work->request = request;
    work->route = route;
    work->priority = route.priority;
    work->arrived = now;
    work->start_deadline = now + patience_of(route);
    work->is_commit = request.kind == verb::commit;
    if (request.kind == verb::execute) {
        work->shape = *from.state.find(request.name);
    }
    work->is_read =
        request.kind == verb::read || (work->shape && work->shape->mode == statement::access::read);
    work->opens_transaction = from.open.has_value();
    work->read_only_transaction = from.open && from.open->read_only;
    work->needs_primary = from.open ? !from.open->read_only : !work->is_read;
    work->bound.acknowledged_before =
        route.read_consistency == directory::consistency::primary ? now : now - route.max_staleness;
    if (route.read_consistency == directory::consistency::read_your_writes &&
        from.last_commit_service == route.service) {
        work->bound.own_commit = from.last_commit;
        work->bound.own_commit_at = from.last_commit_at;
    }
    return work;
}

void proxy::run_in_transaction(session& from, const task_ptr& work, time_point now)
{
    link* const used = find_link(*from.open->link);
    if (used == nullptr) {
        // The server connection is gone and nothing was committed on it.
        const bool commit = work->is_commit;
        note(importance::failure, "aborted a transaction: its server connection was lost",
             work->request.id, {{"service", work->route.service}});
        if (commit) {
            from.open.reset();
        }
        else {
            from.open->failed = true;
            from.open->link.reset();
        }
        refuse(work, error_class::aborted, "the server connection of the transaction was lost",
               now);
        return;
    }
    work->opens_transaction = false;
    assign(*used, work, now);
}

void proxy::admit(const task_ptr& work, time_point now)
{
    group& of = group_of(work->route.service);
    dispatch::admission_input input;
    if (!work->needs_primary) {
        work->at_least = of.watermarks.position_for(work->bound);
    }
    input.expected_wait =
        expected_wait(of, *work, of.queue.count_ahead(work->priority, work->needs_primary), now);
    input.max_wait = patience_of(work->route);
    if (const auto refused = dispatch::check_admission(input)) {
        const auto wait = std::chrono::ceil<std::chrono::milliseconds>(refused->retry_after);
        note(importance::failure, "refused a statement: the queue is longer than it can wait",
             work->request.id,
             {{"service", of.service},
              {"priority", std::to_string(work->priority)},
              {"expected_wait_us", std::to_string(input.expected_wait.count())},
              {"patience_us", std::to_string(input.max_wait.count())},
              {"waiting", std::to_string(of.queue.size())}});
        refuse(work, error_class::busy,
               "overloaded; retry after " + std::to_string(wait.count()) + " ms", now);
        return;
    }
    enqueue(of, work);
    dispatch(of, now);
}

void proxy::on_client_closed(session_id id, time_point now)
{
    const auto found = m_sessions.find(id);
    if (found == m_sessions.end()) {
        return;
    }
    const std::unique_ptr<session> closed = std::move(found->second);
    m_sessions.erase(found);
    if (closed->running) {
        forget_task(closed->running);
    }
    else if (closed->open && closed->open->link) {
        if (link* const used = find_link(*closed->open->link)) {
            roll_back(*used, now);
        }
    }
}

void proxy::forget_task(const task_ptr& work)
{
    if (work->queued) {
        group_of(work->route.service).queue.remove(*work);
        work->queued = false;
        return;
    }
    link* const used = find_link(work->link);
    if (used == nullptr || used->work != work) {
        return;
    }
    // A statement that was sent runs to its end; the link is cleaned with its answer.
    used->work.reset();
    used->pinned.reset();
}

statement::transaction_state proxy::state_of(const session& of) const
{
    if (!of.open) {
        return transaction_state::idle;
    }
    return of.open->failed ? transaction_state::failed : transaction_state::open;
}

void proxy::answer(session& to, statement::answer content)
{
    content.state = state_of(to);
    emit(send_answer{to.id, std::move(content)});
}

void proxy::answer_done(session& to)
{
    answer(to, {});
}

void proxy::answer_error(session& to, error_class kind, const std::string& text)
{
    statement::answer content;
    content.error = kind;
    content.error_text = text;
    answer(to, std::move(content));
}

} // namespace gypsumstep::proxy
