#include "server_pool.h"

#include "clock.h"

#include <algorithm>

namespace gypsumstep::daemon {
namespace {

constexpr const char* backend_user = "gypsumstep";
constexpr const char* unique_violation = "23505";
constexpr const char* read_only_transaction = "25006";
constexpr duration reconnect_backoff = 50ms;
constexpr auto expiry_interval = std::chrono::milliseconds{10};

/// Creates the proxy's table of request keys in the group's database.
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

log_position reported_position(const backend::connection& connection, const char* name)
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
    // Compares the role, not the term: a failover claim raises the known term before the
    // primary changes.
    const bool replaced = m_is_primary && !is_primary;
    m_is_primary = is_primary;
    m_known_term = std::max(m_known_term, known_term);
    m_reachable = reachable;
    if (replaced) {
        fail_pending_writes();
    }
    if (!reachable) {
        refuse_queue("the server does not answer");
    }
}

void server_pool::fail_pending_writes()
{
    for (const auto& entry : m_entries) {
        if (entry->request && entry->request->is_write) {
            fail_request(*entry, "the primary was replaced before it confirmed");
        }
    }
}

void server_pool::refuse_queue(const std::string& reason)
{
    for (const execute_request& request : m_queue.take_all(steady_now())) {
        refuse(request, reason);
    }
}

void server_pool::release(binding_id binding)
{
    if (pool_entry* bound = find_binding(binding)) {
        if (bound->request) {
            free_slot(*bound, true);
            bound->request.reset();
        }
        bound->connection->close();
        remove_closed();
    }
}

server_pool::pool_entry* server_pool::find_idle()
{
    for (const auto& entry : m_entries) {
        const bool idle = entry->connection->state() == backend::connection_state::idle;
        if (idle && !entry->request && entry->binding == binding_id{}) {
            return entry.get();
        }
    }
    return nullptr;
}

server_pool::pool_entry* server_pool::find_binding(binding_id binding)
{
    for (const auto& entry : m_entries) {
        const bool open = entry->connection->state() != backend::connection_state::closed;
        if (open && entry->binding == binding) {
            return entry.get();
        }
    }
    return nullptr;
}

void server_pool::dispatch()
{
    while (auto next = m_queue.take_ready()) {
        const bool bound = next->binding != binding_id{};
        pool_entry* entry = bound ? find_binding(next->binding) : find_idle();
        if (entry != nullptr) {
            start(*entry, std::move(*next));
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
    // Opens one connection at a time, so that a recovering server gets no burst of them.
    if (m_connecting || m_entries.size() >= m_server.connections ||
        steady_now() < m_connect_after) {
        return;
    }
    m_connecting = true;
    m_entries.push_back(std::make_unique<pool_entry>());
    pool_entry& opened = *m_entries.back();
    const backend::connection_target address{m_server.address, m_server.port, m_database,
                                             backend_user};
    opened.connection = std::make_unique<backend::connection>(
        address,
        [this] {
            m_connecting = false;
            dispatch();
        },
        [this, &opened] {
            m_connecting = false;
            m_connect_after = steady_now() + reconnect_backoff;
            if (opened.request) {
                fail_request(opened, "the connection to the server was lost");
            }
            QMetaObject::invokeMethod(
                this, [this] { remove_closed(); }, Qt::QueuedConnection);
        });
    opened.connection->on_idle_input([this, &opened] { check_majority(opened); });
}

void server_pool::start(pool_entry& entry, execute_request request)
{
    entry.answer = {};
    entry.answer.id = request.id;
    entry.answer.server = m_server.id;
    entry.started = steady_now();
    entry.commit_before = reported_position(*entry.connection, "group_commit");
    entry.required = {};
    entry.waits_for_majority = false;
    entry.commit_sent = false;
    entry.request = std::move(request);
    const bool keyed = entry.request->is_write && !entry.request->request_key.empty();
    if (keyed && entry.binding == binding_id{}) {
        start_with_key(entry);
        return;
    }
    run_work(entry);
}

void server_pool::start_with_key(pool_entry& entry)
{
    // Stores the key in the same transaction as the write, so that both commit or neither.
    const std::string sql = std::string{"BEGIN; "} + key_table +
                            "INSERT INTO gypsumstep_requests VALUES (" +
                            sql_literal(entry.request->request_key) + ")";
    entry.connection->run(simple_work(sql), [this, &entry](const backend::work_answer& answer) {
        if (answer.connection_lost) {
            return fail_request(entry, "the connection was lost before the write");
        }
        if (answer.sqlstate.empty()) {
            return run_work(entry);
        }
        const bool found = answer.sqlstate == unique_violation;
        entry.answer.outcome = found ? execute_outcome::already_run : execute_outcome::not_run;
        entry.answer.reason = found ? "the request key is stored" : "the server takes no writes";
        entry.connection->run(simple_work("ROLLBACK"),
                              [this, &entry](const backend::work_answer& end_answer) {
                                  if (end_answer.connection_lost) {
                                      return fail_request(entry, "the connection was lost");
                                  }
                                  confirm(entry);
                              });
    });
}

void server_pool::run_work(pool_entry& entry)
{
    const bool keyed = entry.request->is_write && !entry.request->request_key.empty();
    entry.commit_sent = !keyed || entry.binding != binding_id{};
    entry.connection->run(entry.request->work, [this, &entry](backend::work_answer answer) {
        on_work_answer(entry, std::move(answer));
    });
}

void server_pool::on_work_answer(pool_entry& entry, backend::work_answer answer)
{
    if (answer.connection_lost) {
        fail_request(entry, "the connection to the server was lost");
        return;
    }
    const execute_request& request = *entry.request;
    const bool keyed = request.is_write && !request.request_key.empty();
    // The error comes first in the answer, so no earlier statement of the same query has run.
    const bool nothing_ran =
        answer.messages.starts_with('E') && answer.state == pgwire::transaction_state::idle;
    if (answer.sqlstate == read_only_transaction && nothing_ran) {
        entry.answer.outcome = execute_outcome::not_run;
        entry.answer.reason = "the server takes no writes";
        finish(entry);
        return;
    }
    entry.answer.outcome = execute_outcome::answered;
    entry.answer.answer = std::move(answer);
    if (keyed && entry.binding == binding_id{}) {
        finish_with_key(entry);
        return;
    }
    confirm(entry);
}

void server_pool::finish_with_key(pool_entry& entry)
{
    const bool failed = !entry.answer.answer.sqlstate.empty();
    entry.commit_sent = !failed;
    entry.connection->run(simple_work(failed ? "ROLLBACK" : "COMMIT"),
                          [this, &entry, failed](const backend::work_answer& end_answer) {
                              if (end_answer.connection_lost) {
                                  return fail_request(entry,
                                                      "the connection was lost at the commit");
                              }
                              entry.answer.answer.state = end_answer.state;
                              if (!failed && !end_answer.sqlstate.empty()) {
                                  entry.answer.outcome = execute_outcome::not_run;
                                  entry.answer.reason = "the server refused the commit";
                                  return finish(entry);
                              }
                              confirm(entry);
                          });
}

void server_pool::free_slot(const pool_entry& entry, bool ok)
{
    const time_point now = steady_now();
    m_queue.finished(entry.answer.id, now - entry.started, ok, now);
}

void server_pool::confirm(pool_entry& entry)
{
    // The server has finished the statement. Waiting for the majority occupies no slot.
    free_slot(entry, true);
    const backend::connection& connection = *entry.connection;
    const log_position snapshot = reported_position(connection, "group_snapshot");
    const log_position commit = reported_position(connection, "group_commit");
    const bool committed = commit != entry.commit_before;
    entry.answer.observed = committed ? commit : snapshot;
    const auto& at_least = entry.request->at_least;
    if (!committed && at_least && snapshot < *at_least) {
        entry.answer.outcome = execute_outcome::behind;
        entry.answer.answer = {};
        entry.answer.reason = "the server is at " + to_string(snapshot);
        finish(entry);
        return;
    }
    // In a group of three, an entry that a replica shows was also held by its primary, and
    // these two are a majority.
    const bool on_primary = connection.parameter("group_role") == "primary";
    entry.required = committed || on_primary ? *entry.answer.observed : log_position{};
    entry.waits_for_majority = true;
    check_majority(entry);
}

void server_pool::check_majority(pool_entry& entry)
{
    if (!entry.waits_for_majority) {
        return;
    }
    const log_position held = reported_position(*entry.connection, "group_held");
    const bool needs_none = entry.required == log_position{};
    if (needs_none || (held >= entry.required && held.entry_term == entry.required.entry_term &&
                       m_known_term <= held.entry_term)) {
        finish(entry);
    }
}

void server_pool::finish(pool_entry& entry)
{
    entry.waits_for_majority = false;
    free_slot(entry, true);
    entry.request.reset();
    const bool open = entry.answer.answer.state != pgwire::transaction_state::idle;
    if (open && entry.binding == binding_id{}) {
        entry.binding = binding_id{m_next_binding++};
    }
    else if (!open) {
        entry.binding = {};
    }
    entry.answer.binding = entry.binding;
    m_on_answer(std::move(entry.answer));
    dispatch();
}

void server_pool::fail_request(pool_entry& entry, const std::string& reason)
{
    const execute_request request = std::move(*entry.request);
    entry.request.reset();
    free_slot(entry, false);
    entry.waits_for_majority = false;
    entry.connection->close();
    execute_answer answer;
    answer.id = request.id;
    answer.server = m_server.id;
    const bool may_have_run = request.is_write && entry.commit_sent;
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
        // The session abandons the transaction, so its connection must be closed.
        release(request.binding);
    }
}

void server_pool::expire()
{
    const time_point now = steady_now();
    for (const auto& entry : m_entries) {
        if (entry->request && entry->request->deadline <= now) {
            fail_request(*entry, "the deadline passed while it ran");
        }
    }
    for (const execute_request& request : m_queue.take_expired(now)) {
        refuse(request, "the deadline passed in the queue");
    }
    dispatch();
}

void server_pool::remove_closed()
{
    std::erase_if(m_entries, [](const std::unique_ptr<pool_entry>& entry) {
        return entry->connection->state() == backend::connection_state::closed && !entry->request;
    });
    dispatch();
}

} // namespace gypsumstep::daemon
