// Dispatching: which server runs a waiting statement, and when.
#include "gypsumstep/proxy/proxy.h"

#include <algorithm>

namespace gypsumstep::proxy {
namespace {

/// Maximum number of concurrent watermark requests to a group's primary. Each serves all reads
/// that were waiting when it was sent.
constexpr std::uint32_t max_watermark_requests = 3;

/// Maximum number of connections to one server that are being opened at the same time. Each
/// occupies a slot of the server while it starts.
constexpr std::uint32_t max_opening = 2;

} // namespace

void proxy::enqueue(database_group& group, const task_ptr& work)
{
    work->queued = true;
    group.queue.push(*work);
}

void proxy::requeue(const task_ptr& work, duration backoff, time_point now)
{
    if (work->kind == detail::task_kind::statement && find_session(work->session) == nullptr) {
        return;
    }
    work->sent = false;
    work->connection = {};
    work->not_before = now + backoff;
    ++work->attempts;
    if (work->kind == detail::task_kind::watermark_request) {
        finish_watermark_request(group_of(work->route.service));
        return;
    }
    enqueue(group_of(work->route.service), work);
    request_tick(tick_need::soon);
}

void proxy::dispatch(database_group& group, time_point now)
{
    // Starting a statement may finish others and so change the queue; the visitor itself
    // removes only the item passed to it.
    group.reads_ahead = 0;
    group.queue.visit([&](dispatch::queued_statement& item) {
        const task_ptr work{static_cast<task*>(&item)};
        if (now < work->not_before) {
            return true;
        }
        if (!try_start(group, work, now) && !work->needs_primary) {
            ++group.reads_ahead;
        }
        return true;
    });
}

bool proxy::try_start(database_group& group, const task_ptr& work, time_point now)
{
    return work->needs_primary ? try_start_on_primary(group, work, now)
                               : try_start_read(group, work, now);
}

bool proxy::is_usable(const backend_server& server, time_point now) const
{
    return m_directory.find(server.id) != nullptr && now >= server.avoid_until;
}

std::uint32_t proxy::statement_limit(const backend_server& server) const
{
    const directory::server_record* const record = m_directory.find(server.id);
    const std::uint32_t homes = share_of(server.service).homes;
    if (record == nullptr || homes == 0) {
        return m_options.statements_per_server;
    }
    return dispatch::fair_statement_limit(record->entry.slots, homes,
                                          m_options.statements_per_server);
}

std::uint32_t proxy::statement_limit_for(const task& work, const backend_server& server) const
{
    return statement_limit(server) + (work.priority == 0 ? m_options.urgent_reserve : 0);
}

bool proxy::try_start_on_primary(database_group& group, const task_ptr& work, time_point now)
{
    backend_server* const primary = group.primary ? find_server(*group.primary) : nullptr;
    if (primary == nullptr || !is_usable(*primary, now) || !is_lead_usable(group, now)) {
        return false;
    }
    // What was not sent to a silent server can still be refused as not run.
    if (primary->outcomes.is_silent()) {
        return false;
    }
    const bool takes_slot = work->kind == detail::task_kind::statement;
    if (takes_slot && primary->running >= statement_limit_for(*work, *primary)) {
        return false;
    }
    server_connection* const connection = find_idle_connection(*primary, work.get());
    if (connection == nullptr) {
        open_connection_if_allowed(*primary, work->account, now);
        return false;
    }
    group.queue.remove(*work);
    work->queued = false;
    assign(*connection, work, now);
    return true;
}

dispatch::candidate proxy::make_candidate(const database_group& group, const backend_server& server,
                                          const task& work, time_point now) const
{
    dispatch::candidate candidate;
    candidate.id = server.id;
    candidate.is_primary = group.primary == server.id;
    candidate.distance = server.distance;
    candidate.in_flight = server.running;
    candidate.limit = statement_limit_for(work, server);
    candidate.mean_response_time = server.response_time.expected(now);
    candidate.needs_connection = !has_idle_connection(server, work.account);
    candidate.expects_lag_refusal =
        server.newest_position < work.required_position->position && !candidate.is_primary &&
        server.lag.expects_refusal(now - work.required_position->as_of, now);
    return candidate;
}

bool proxy::try_start_read(database_group& group, const task_ptr& work, time_point now)
{
    work->required_position = group.watermarks.position_for(work->bound);
    if (!work->required_position) {
        request_watermark(group, work->bound.acknowledged_before, now);
        return false;
    }
    std::vector<dispatch::candidate> candidates;
    std::vector<dispatch::candidate> own;
    for (const backend_server* const server : group.servers) {
        const directory::server_record* const record = m_directory.find(server->id);
        if (record == nullptr || !is_usable(*server, now) ||
            work->avoided_servers.contains(server->id) ||
            is_avoided_for(group, *server, *work, now)) {
            continue;
        }
        if (record->entry.draining && group.primary != server->id) {
            continue;
        }
        const auto candidate = make_candidate(group, *server, *work, now);
        if (candidate.distance != dispatch::proximity::remote && is_established(*server)) {
            own.push_back(candidate);
        }
        if (!candidate.needs_connection || may_open_connection(*server, work->account, now)) {
            candidates.push_back(candidate);
        }
    }
    if (candidates.empty() && !work->avoided_servers.empty()) {
        work->avoided_servers.clear();
        return false;
    }
    while (const auto chosen = dispatch::choose_for_read(candidates)) {
        backend_server& target = *find_server(*chosen);
        const auto erase_chosen = [&] {
            std::erase_if(candidates, [&](const dispatch::candidate& candidate) {
                return candidate.id == *chosen;
            });
        };
        const bool needs_connection = !has_idle_connection(target, work->account);
        if (target.distance == dispatch::proximity::remote &&
            !may_leave_region(group, target, *work, own, needs_connection, now)) {
            erase_chosen();
            continue;
        }
        if (server_connection* const connection = find_idle_connection(target, work.get())) {
            group.queue.remove(*work);
            work->queued = false;
            if (target.outcomes.is_avoided()) {
                target.outcomes.on_probe_sent(now);
            }
            work->sent_away = target.distance == dispatch::proximity::remote && !own.empty() &&
                              group.locality.is_leaving();
            if (target.distance == dispatch::proximity::remote) {
                group.locality.on_sent_away(now);
            }
            assign(*connection, work, now);
            return true;
        }
        open_connection_if_allowed(target, work->account, now);
        // Until this connection is open, the next best server may run the statement.
        erase_chosen();
    }
    return false;
}

std::uint32_t proxy::available_capacity(const database_group& group, const task& work,
                                        time_point now) const
{
    std::uint32_t total = 0;
    for (const backend_server* const server : group.servers) {
        if (!is_usable(*server, now)) {
            continue;
        }
        const bool is_primary = group.primary == server->id;
        if (work.needs_primary
                ? !is_primary
                : work.required_position &&
                      make_candidate(group, *server, work, now).expects_lag_refusal) {
            continue;
        }
        if (!work.needs_primary && is_avoided_for(group, *server, work, now)) {
            continue;
        }
        total += statement_limit(*server);
    }
    return total;
}

duration proxy::expected_wait(const database_group& group, const task& work, std::size_t ahead,
                              time_point now) const
{
    return group.estimate.expected_wait(ahead, available_capacity(group, work, now));
}

bool proxy::has_idle_connection(const backend_server& server, const std::string& account) const
{
    return std::any_of(server.connections.begin(), server.connections.end(),
                       [&](server_connection_id id) {
                           const server_connection& connection = *m_connections.at(id);
                           return connection.phase == detail::connection_phase::idle &&
                                  connection.account == account;
                       });
}

proxy::server_connection* proxy::find_idle_connection(backend_server& server, const task* work)
{
    const client_session* const session = work == nullptr ? nullptr : find_session(work->session);
    server_connection* best = nullptr;
    std::size_t best_cost = 0;
    for (const server_connection_id id : server.connections) {
        server_connection* const connection = find_connection(id);
        if (connection->phase != detail::connection_phase::idle ||
            (work != nullptr && connection->account != work->account)) {
            continue;
        }
        const std::size_t cost =
            session == nullptr ? 0 : connection->replayed.replay_cost(session->state);
        if (best == nullptr || cost < best_cost) {
            best = connection;
            best_cost = cost;
        }
    }
    return best;
}

bool proxy::may_open_connection(const backend_server& server, const std::string& account,
                                time_point now) const
{
    if (now < server.connect_after) {
        return false;
    }
    return server.connections.size() < server.connection_limit ||
           std::any_of(server.connections.begin(), server.connections.end(),
                       [&](server_connection_id id) {
                           const server_connection& connection = *m_connections.at(id);
                           return connection.phase == detail::connection_phase::idle &&
                                  connection.account != account;
                       });
}

bool proxy::close_idle_connection_of_other(backend_server& server, const std::string& account,
                                           time_point now)
{
    const server_connection* oldest = nullptr;
    for (const server_connection_id id : server.connections) {
        const server_connection* const connection = find_connection(id);
        if (connection->phase == detail::connection_phase::idle && connection->account != account &&
            (oldest == nullptr || connection->idle_since < oldest->idle_since)) {
            oldest = connection;
        }
    }
    if (oldest == nullptr) {
        return false;
    }
    close_connection(oldest->id, "another client account needed a connection", now);
    return true;
}

void proxy::open_connection_if_allowed(backend_server& server, const std::string& account,
                                       time_point now)
{
    // A server that may be unreachable accepts or refuses an attempt only after a long time.
    const std::uint32_t opening_limit = server.outcomes.is_avoided() ? 1 : max_opening;
    if (server.opening_connections >= opening_limit || !may_open_connection(server, account, now)) {
        return;
    }
    const bool is_opening = std::any_of(
        server.connections.begin(), server.connections.end(), [&](server_connection_id id) {
            const server_connection& connection = *m_connections.at(id);
            return connection.phase == detail::connection_phase::opening &&
                   connection.account == account;
        });
    // Connections of an account can't serve others, so at most one is opened for it at a time.
    if (is_opening && !account.empty()) {
        return;
    }
    const directory::server_record* const record = m_directory.find(server.id);
    if (record == nullptr && !is_being_released(server)) {
        return;
    }
    if (server.connections.size() >= server.connection_limit &&
        !close_idle_connection_of_other(server, account, now)) {
        return;
    }
    const server_connection_id id{m_next_connection++};
    auto opened = std::make_unique<server_connection>();
    opened->id = id;
    opened->server = server.id;
    opened->account = account;
    opened->command_sent_at = now;
    opened->deadline = now + m_options.connect_timeout;
    m_connections.emplace(id, std::move(opened));
    server.connections.insert(id);
    ++server.opening_connections;
    const directory::server_entry& entry = record == nullptr ? server.entry : record->entry;
    emit(open_server_connection{id, entry.host, entry.port, entry.service, entry.name, account});
}

void proxy::request_watermark(database_group& group, time_point acknowledged_before, time_point now)
{
    if (group.watermark_requests >= max_watermark_requests || !group.primary) {
        return;
    }
    backend_server* const primary = find_server(*group.primary);
    // A request that hangs on its connection does not keep the reads waiting for its timeout.
    const bool hangs =
        primary != nullptr && now - group.newest_watermark_request >=
                                  dispatch::silence_limit(primary->response_time.recent());
    if (group.watermark_requests > 0 && group.newest_watermark_request >= acknowledged_before &&
        !hangs) {
        return;
    }
    if (primary == nullptr || !is_usable(*primary, now) || !is_lead_usable(group, now)) {
        return;
    }
    server_connection* const connection = find_idle_connection(*primary, nullptr);
    if (connection == nullptr) {
        open_connection_if_allowed(*primary, {}, now);
        return;
    }
    const task_ptr work{new task};
    work->kind = detail::task_kind::watermark_request;
    work->route.service = group.service;
    work->needs_primary = true;
    work->arrived = now;
    ++group.watermark_requests;
    group.newest_watermark_request = now;
    assign(*connection, work, now);
}

} // namespace gypsumstep::proxy
