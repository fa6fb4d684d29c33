#include "server_pool.h"

#include "clock.h"

#include <algorithm>

namespace gypsumstep::daemon {
namespace {

constexpr const char* backend_user = "gypsumstep";
constexpr const char* unique_violation = "23505";
constexpr const char* no_writes_here = "25006";
constexpr duration reconnect_pause = 50ms;
constexpr auto expiry_interval = std::chrono::milliseconds{10};

/// The proxy's own table of request keys, kept in the group beside the data.
constexpr const char* key_table =
    "CREATE TABLE IF NOT EXISTS gypsumstep_requests (request_key TEXT PRIMARY KEY); ";

std::string sql_literal(const std::string& text)
{
    std::string quoted_text{"'"};
    for (const char c : text) {
        quoted_text.append(c == '\'' ? "''" : std::string{c});
    }
    return quoted_text + "'";
}

log_position reported(const backend::connection& connection, const char* name)
{
    return parse_position(connection.parameter(name)).value_or(log_position{});
}

backend::work simple_work(std::string sql)
{
    backend::work item;
    item.sql = std::move(sql);
    return item;
}

} // namespace

server_pool::server_pool(const fleet::server& server, const std::string& database,
                         const std::array<fleet::rank_target, rank_count>& ranks,
                         answer_handler on_answer)
    : m_server{server}, m_database{database}, m_on_answer{std::move(on_answer)}, m_queue{server,
                                                                                         ranks}
{
    connect(&m_expiry, &QTimer::timeout, this, &server_pool::expire);
    m_expiry.start(expiry_interval);
}

void server_pool::execute(const execute_request& request)
{
    const bool bound = request.binding != binding_id{};
    if (bound && find_binding(request.binding) == nullptr) {
        refuse(request, "the transaction's connection was lost and rolled back");
        return;
    }
    if (!bound && !m_reachable) {
        refuse(request, "the server does not answer");
        return;
    }
    if (const auto refused = m_queue.offer(request, steady_now())) {
        refuse(request, admission::to_string(refused->reason), refused->retry_after);
        return;
    }
    dispatch();
}

void server_pool::update(bool reachable, term known_term, bool is_primary)
{
    // The known term may rise while a claim is open, before the primary changes.
    const bool replaced = m_is_primary && !is_primary;
    m_is_primary = is_primary;
    m_known_term = std::max(m_known_term, known_term);
    m_reachable = reachable;
    if (replaced) {
        give_up_replaced();
    }
    if (!reachable) {
        refuse_queue("the server does not answer");
    }
}

void server_pool::give_up_replaced()
{
    for (const auto& each : m_slots) {
        if (each->request && each->request->is_write) {
            lose(*each, "the primary was replaced before it confirmed");
        }
    }
}

void server_pool::refuse_queue(const std::string& reason)
{
    for (const execute_request& each : m_queue.take_all(steady_now())) {
        refuse(each, reason);
    }
}

void server_pool::release(binding_id binding)
{
    if (slot* bound = find_binding(binding)) {
        if (bound->request) {
            free_slot(*bound, true);
            bound->request.reset();
        }
        bound->connection->close();
        remove_closed();
    }
}

server_pool::slot* server_pool::find_idle()
{
    for (const auto& each : m_slots) {
        const bool idle = each->connection->state() == backend::connection_state::idle;
        if (idle && !each->request && each->binding == binding_id{}) {
            return each.get();
        }
    }
    return nullptr;
}

server_pool::slot* server_pool::find_binding(binding_id binding)
{
    for (const auto& each : m_slots) {
        const bool open = each->connection->state() != backend::connection_state::closed;
        if (open && each->binding == binding) {
            return each.get();
        }
    }
    return nullptr;
}

void server_pool::dispatch()
{
    while (auto next = m_queue.take_ready()) {
        const bool bound = next->binding != binding_id{};
        slot* target = bound ? find_binding(next->binding) : find_idle();
        if (target != nullptr) {
            start(*target, std::move(*next));
            continue;
        }
        if (bound) {
            m_queue.finished(next->id, duration{0}, false, steady_now());
            refuse(*next, "the transaction's connection was lost and rolled back");
            continue;
        }
        m_queue.put_back(std::move(*next));
        open_connection();
        return;
    }
}

void server_pool::open_connection()
{
    // One at a time: a server that has just come back is not met by a burst.
    if (m_connecting || m_slots.size() >= m_server.connections || steady_now() < m_connect_after) {
        return;
    }
    m_connecting = true;
    m_slots.push_back(std::make_unique<slot>());
    slot& opened = *m_slots.back();
    const backend::connection_target target{m_server.address, m_server.port, m_database,
                                            backend_user};
    opened.connection = std::make_unique<backend::connection>(
        target,
        [this] {
            m_connecting = false;
            dispatch();
        },
        [this, &opened] {
            m_connecting = false;
            m_connect_after = steady_now() + reconnect_pause;
            if (opened.request) {
                lose(opened, "the connection to the server was lost");
            }
            QMetaObject::invokeMethod(
                this, [this] { remove_closed(); }, Qt::QueuedConnection);
        });
    opened.connection->on_idle_input([this, &opened] { check_majority(opened); });
}

void server_pool::start(slot& target, execute_request request)
{
    target.answer = {};
    target.answer.id = request.id;
    target.answer.server = m_server.id;
    target.started = steady_now();
    target.commit_before = reported(*target.connection, "group_commit");
    target.needed = {};
    target.waits_for_majority = false;
    target.commit_sent = false;
    target.request = std::move(request);
    const bool keyed = target.request->is_write && !target.request->request_key.empty();
    if (keyed && target.binding == binding_id{}) {
        start_keyed(target);
        return;
    }
    run_work(target);
}

void server_pool::start_keyed(slot& target)
{
    // The key is stored in the transaction of the write: both are kept or neither.
    const std::string sql = std::string{"BEGIN; "} + key_table +
                            "INSERT INTO gypsumstep_requests VALUES (" +
                            sql_literal(target.request->request_key) + ")";
    target.connection->run(simple_work(sql), [this, &target](const backend::work_answer& answer) {
        if (answer.connection_lost) {
            return lose(target, "the connection was lost before the write");
        }
        if (answer.sqlstate.empty()) {
            return run_work(target);
        }
        const bool found = answer.sqlstate == unique_violation;
        target.answer.outcome = found ? execute_outcome::already_run : execute_outcome::not_run;
        target.answer.reason = found ? "the request key is stored" : "the server takes no writes";
        target.connection->run(simple_work("ROLLBACK"),
                               [this, &target](const backend::work_answer& end) {
                                   if (end.connection_lost) {
                                       return lose(target, "the connection was lost");
                                   }
                                   confirm(target);
                               });
    });
}

void server_pool::run_work(slot& target)
{
    const bool keyed = target.request->is_write && !target.request->request_key.empty();
    target.commit_sent = !keyed || target.binding != binding_id{};
    target.connection->run(target.request->work, [this, &target](backend::work_answer answer) {
        on_work_answer(target, std::move(answer));
    });
}

void server_pool::on_work_answer(slot& target, backend::work_answer answer)
{
    if (answer.connection_lost) {
        lose(target, "the connection to the server was lost");
        return;
    }
    const execute_request& request = *target.request;
    const bool keyed = request.is_write && !request.request_key.empty();
    // An error in front of everything else: no earlier statement of the same query has run.
    const bool nothing_ran =
        answer.messages.starts_with('E') && answer.state == pgwire::transaction_state::idle;
    if (answer.sqlstate == no_writes_here && nothing_ran) {
        target.answer.outcome = execute_outcome::not_run;
        target.answer.reason = "the server takes no writes";
        finish(target);
        return;
    }
    target.answer.outcome = execute_outcome::answered;
    target.answer.answer = std::move(answer);
    if (keyed && target.binding == binding_id{}) {
        finish_keyed(target);
        return;
    }
    confirm(target);
}

void server_pool::finish_keyed(slot& target)
{
    const bool failed = !target.answer.answer.sqlstate.empty();
    target.commit_sent = !failed;
    target.connection->run(simple_work(failed ? "ROLLBACK" : "COMMIT"),
                           [this, &target, failed](const backend::work_answer& end) {
                               if (end.connection_lost) {
                                   return lose(target, "the connection was lost at the commit");
                               }
                               target.answer.answer.state = end.state;
                               if (!failed && !end.sqlstate.empty()) {
                                   target.answer.outcome = execute_outcome::not_run;
                                   target.answer.reason = "the server refused the commit";
                                   return finish(target);
                               }
                               confirm(target);
                           });
}

void server_pool::free_slot(const slot& target, bool ok)
{
    const time_point now = steady_now();
    m_queue.finished(target.answer.id, now - target.started, ok, now);
}

void server_pool::confirm(slot& target)
{
    // The server is done with it; waiting for the majority takes no slot.
    free_slot(target, true);
    const backend::connection& connection = *target.connection;
    const log_position snapshot = reported(connection, "group_snapshot");
    const log_position commit = reported(connection, "group_commit");
    const bool committed = commit != target.commit_before;
    target.answer.observed = committed ? commit : snapshot;
    const auto& at_least = target.request->at_least;
    if (!committed && at_least && snapshot < *at_least) {
        target.answer.outcome = execute_outcome::behind;
        target.answer.answer = {};
        target.answer.reason = "the server is at " + to_string(snapshot);
        finish(target);
        return;
    }
    // A replica of a group of three shows only what its primary held as well.
    const bool on_primary = connection.parameter("group_role") == "primary";
    target.needed = committed || on_primary ? *target.answer.observed : log_position{};
    target.waits_for_majority = true;
    check_majority(target);
}

void server_pool::check_majority(slot& target)
{
    if (!target.waits_for_majority) {
        return;
    }
    const log_position held = reported(*target.connection, "group_held");
    const bool needs_none = target.needed == log_position{};
    if (needs_none || (held >= target.needed && held.entry_term == target.needed.entry_term &&
                       m_known_term <= held.entry_term)) {
        finish(target);
    }
}

void server_pool::finish(slot& target)
{
    target.waits_for_majority = false;
    free_slot(target, true);
    target.request.reset();
    const bool open = target.answer.answer.state != pgwire::transaction_state::idle;
    if (open && target.binding == binding_id{}) {
        target.binding = binding_id{m_next_binding++};
    }
    else if (!open) {
        target.binding = {};
    }
    target.answer.binding = target.binding;
    m_on_answer(std::move(target.answer));
    dispatch();
}

void server_pool::lose(slot& target, const std::string& reason)
{
    const execute_request request = std::move(*target.request);
    target.request.reset();
    free_slot(target, false);
    target.waits_for_majority = false;
    target.connection->close();
    execute_answer answer;
    answer.id = request.id;
    answer.server = m_server.id;
    const bool may_have_run = request.is_write && target.commit_sent;
    answer.outcome = may_have_run ? execute_outcome::unknown : execute_outcome::not_run;
    answer.reason = reason;
    m_on_answer(std::move(answer));
    QMetaObject::invokeMethod(
        this, [this] { remove_closed(); }, Qt::QueuedConnection);
}

void server_pool::refuse(const execute_request& request, const std::string& reason,
                         std::optional<duration> retry_after)
{
    execute_answer answer;
    answer.id = request.id;
    answer.server = m_server.id;
    answer.outcome = execute_outcome::not_run;
    answer.reason = reason;
    answer.retry_after = retry_after;
    m_on_answer(std::move(answer));
    if (request.binding != binding_id{}) {
        // The session gives the transaction up, so its connection must not outlive it.
        release(request.binding);
    }
}

void server_pool::expire()
{
    const time_point now = steady_now();
    for (const auto& each : m_slots) {
        if (each->request && each->request->deadline <= now) {
            lose(*each, "the deadline passed while it ran");
        }
    }
    for (const execute_request& each : m_queue.take_expired(now)) {
        refuse(each, "the deadline passed in the queue");
    }
    dispatch();
}

void server_pool::remove_closed()
{
    std::erase_if(m_slots, [](const std::unique_ptr<slot>& each) {
        return each->connection->state() == backend::connection_state::closed && !each->request;
    });
    dispatch();
}

} // namespace gypsumstep::daemon
