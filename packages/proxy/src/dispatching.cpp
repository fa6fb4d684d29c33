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
    work->awaited_server.reset();
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
    dispatch::demand_table demands;
    group.queue.visit([&](dispatch::queued_statement& item) {
        const task_ptr work{static_cast<task*>(&item)};
        if (now < work->not_before) {
            return true;
        }
        try_start(group, work, demands, now);
        return true;
    });
}

bool proxy::try_start(database_group& group, const task_ptr& work, dispatch::demand_table& demands,
                      time_point now)
{
    return work->needs_primary ? try_start_on_primary(group, work, demands, now)
                               : try_start_read(group, work, demands, now);
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

bool proxy::try_start_on_primary(database_group& group, const task_ptr& work,
                                 dispatch::demand_table& demands, time_point now)
{
    backend_server* const primary = group.primary ? find_server(*group.primary) : nullptr;
    if (primary == nullptr || !is_usable(*primary, now) || !is_lead_usable(group, now)) {
        return false;
    }
    const bool takes_slot = work->kind == detail::task_kind::statement;
    if (takes_slot && primary->running >= statement_limit_for(*work, *primary)) {
        count_wait(*work, wait_cause::slots);
        return false;
    }
    server_connection* const connection = find_idle_connection(*primary, work.get());
    if (connection == nullptr && uses_accounts()) {
        (void)await_connection(*primary, work, demands, now);
        return false;
    }
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
    candidate.mean_response_time = server.usual_time;
    candidate.needs_connection = !has_idle_connection(server, work.account);
    candidate.expects_lag_refusal =
        server.newest_position < work.required_position->position && !candidate.is_primary &&
        server.lag.expects_refusal(now - work.required_position->as_of, now);
    return candidate;
}

bool proxy::try_start_read(database_group& group, const task_ptr& work,
                           dispatch::demand_table& demands, time_point now)
{
    work->required_position = group.watermarks.position_for(work->bound);
    if (!work->required_position) {
        request_watermark(group, work->bound.acknowledged_before, work->account, now);
        return false;
    }
    if (uses_accounts() && !has_free_slot(group, *work)) {
        count_wait(*work, wait_cause::slots);
        return false;
    }
    std::vector<dispatch::candidate> candidates;
    for (const backend_server* const server : group.servers) {
        const directory::server_record* const record = m_directory.find(server->id);
        if (record == nullptr || !is_usable(*server, now) ||
            work->avoided_servers.contains(server->id)) {
            continue;
        }
        if (record->entry.draining && group.primary != server->id) {
            continue;
        }
        const auto candidate = make_candidate(group, *server, *work, now);
        const auto has_connection = [&] {
            const auto& demand = demand_at(demands, *server, work->account);
            return demand.running + demand.opening > 0;
        };
        if (!candidate.needs_connection || may_open_connection(*server, work->account, now) ||
            (uses_accounts() && has_connection())) {
            candidates.push_back(candidate);
        }
    }
    if (candidates.empty() && !work->avoided_servers.empty()) {
        work->avoided_servers.clear();
        return false;
    }
    if (uses_accounts()) {
        return try_start_read_of_account(group, work, std::move(candidates), demands, now);
    }
    while (const auto chosen = dispatch::choose_for_read(candidates)) {
        backend_server& target = *find_server(*chosen);
        if (server_connection* const connection = find_idle_connection(target, work.get())) {
            group.queue.remove(*work);
            work->queued = false;
            assign(*connection, work, now);
            return true;
        }
        open_connection_if_allowed(target, work->account, now);
        // Until this connection is open, the next best server may run the statement.
        std::erase_if(candidates, [&](const dispatch::candidate& candidate) {
            return candidate.id == *chosen;
        });
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
        total += statement_limit(*server);
    }
    return total;
}

duration proxy::expected_wait(const database_group& group, const task& work, std::size_t ahead,
                              time_point now) const
{
    return std::max(group.estimate.expected_wait(ahead, available_capacity(group, work, now)),
                    connection_wait(group, work, now));
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

void proxy::open_connection_if_allowed(backend_server& server, const std::string& account,
                                       time_point now)
{
    if (uses_accounts()) {
        open_probe_connection(server, account, now);
        return;
    }
    if (server.opening_connections >= max_opening || !may_open_connection(server, account, now)) {
        return;
    }
    if (m_directory.find(server.id) == nullptr && !is_being_released(server)) {
        return;
    }
    if (server.connections.size() >= server.connection_limit) {
        // Connections of accounts are left from a configuration that had some.
        const auto chosen = find_closable(server, account, now);
        if (!chosen) {
            return;
        }
        close_for_account(server, *chosen, account, now);
    }
    open_connection(server, account, now);
}

void proxy::request_watermark(database_group& group, time_point acknowledged_before,
                              const std::string& account, time_point now)
{
    if (group.watermark_requests > 0 && group.newest_watermark_request >= acknowledged_before) {
        return;
    }
    if (group.watermark_requests >= max_watermark_requests || !group.primary) {
        return;
    }
    backend_server* const primary = find_server(*group.primary);
    if (primary == nullptr || !is_usable(*primary, now) || !is_lead_usable(group, now)) {
        return;
    }
    server_connection* const connection = find_idle_connection(*primary, nullptr);
    if (connection == nullptr) {
        open_connection_if_allowed(*primary, account, now);
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
