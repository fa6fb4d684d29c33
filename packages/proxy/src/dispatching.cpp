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

/// A client that sent nothing for this time inside its transaction is taken to rest, so that its
/// connection is not expected to become free soon. Clients that work on send the next statement
/// within some round trips.
constexpr duration rest_threshold = 200ms;

/// One in this many connections to a server, but at least one, is not used for transactions while
/// accounts are in use: clients that rest inside transactions hold their connections for seconds,
/// and single statements of the others must still be served.
constexpr std::uint32_t transaction_reserve_divisor = 4;

/// How long a resting transaction is expected to hold its connection if the configuration sets no
/// limit to it: nothing is known, so that clients ask again about once a second.
constexpr duration unlimited_rest = 1s;

/// Minimum interval between log lines that a floor let less urgent statements go first.
constexpr duration floor_log_interval = 1s;

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
    database_group& group = group_of(work->route.service);
    work->only_primary = runs_only_on_primary(group, *work, now);
    enqueue(group, work);
    request_tick(tick_need::soon);
}

void proxy::dispatch(database_group& group, time_point now)
{
    update_queue(group, now);
    const std::uint64_t starts_by_floor = group.queue.starts_by_floor();
    // Starting a statement may finish others and so change the queue; the visitor itself
    // removes only the item passed to it.
    dispatch::demand_table demands;
    group.reads_ahead = 0;
    group.queue.visit([&](dispatch::queued_statement& item) {
        const task_ptr work{static_cast<task*>(&item)};
        if (now < work->not_before) {
            return true;
        }
        if (!try_start(group, work, demands, now) && !work->needs_primary) {
            ++group.reads_ahead;
        }
        return true;
    });
    log_floor_starts(group, starts_by_floor, now);
}

void proxy::log_floor_starts(database_group& group, std::uint64_t before, time_point now)
{
    if (group.queue.starts_by_floor() == before ||
        now - group.floor_logged_at < floor_log_interval) {
        return;
    }
    group.floor_logged_at = now;
    log_decision(importance::notice, "a floor let less urgent statements go first", "",
                 {{"service", group.service},
                  {"starts_by_floor", std::to_string(group.queue.starts_by_floor())},
                  {"waiting", std::to_string(group.queue.size())}});
}

void proxy::update_queue(database_group& group, time_point now)
{
    std::uint32_t slots = 0;
    for (backend_server* const server : group.servers) {
        server->unheld_connections = UINT32_MAX;
        if (group.queue.is_fair()) {
            count_held_connections(*server, now);
        }
        slots += is_usable(*server, now) ? statement_limit(*server) : 0;
    }
    group.queue.update({slots, group.estimate.mean()}, now);
}

void proxy::count_held_connections(backend_server& server, time_point now)
{
    const duration idle_limit = m_routes.current().transaction_idle_timeout;
    std::uint32_t held = 0;
    server.held_until = time_point::max();
    for (const server_connection_id id : server.connections) {
        const server_connection& connection = *find_connection(id);
        const client_session* const owner =
            connection.phase == detail::connection_phase::idle_in_transaction &&
                    connection.transaction_owner
                ? find_session(*connection.transaction_owner)
                : nullptr;
        if (owner == nullptr || !owner->open_transaction ||
            now - owner->open_transaction->last_used < rest_threshold) {
            continue;
        }
        ++held;
        const time_point ends = idle_limit == duration{0}
                                    ? now + unlimited_rest
                                    : owner->open_transaction->last_used + idle_limit;
        server.held_until = std::min(server.held_until, ends);
    }
    const auto open = static_cast<std::uint32_t>(server.connections.size());
    server.unheld_connections = std::max(open, server.connection_limit) - held;
}

std::uint32_t proxy::transaction_reserve(const backend_server& server)
{
    const std::uint32_t limit =
        std::max(static_cast<std::uint32_t>(server.connections.size()), server.connection_limit);
    // A single connection must serve everything.
    return limit <= 1 ? 0 : std::max(limit / transaction_reserve_divisor, 1U);
}

bool proxy::may_open_transaction(const database_group& group, const backend_server& server) const
{
    if (!group.queue.is_fair()) {
        return true;
    }
    const auto held = std::count_if(
        server.connections.begin(), server.connections.end(),
        [this](server_connection_id id) { return m_connections.at(id)->transaction_owner; });
    const std::uint32_t limit =
        std::max(static_cast<std::uint32_t>(server.connections.size()), server.connection_limit);
    return held < limit - transaction_reserve(server);
}

std::uint32_t proxy::connections_for(const backend_server& server, const task& work)
{
    if (!work.opens_transaction || server.unheld_connections == UINT32_MAX) {
        return server.unheld_connections;
    }
    return server.unheld_connections -
           std::min(server.unheld_connections, transaction_reserve(server));
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
    // What was not sent to a silent server can still be refused as not run.
    if (primary->outcomes.is_silent()) {
        return false;
    }
    const bool takes_slot = work->kind == detail::task_kind::statement;
    if (takes_slot && primary->running >= statement_limit_for(*work, *primary)) {
        count_wait(*work, wait_cause::slots);
        return false;
    }
    if (work->opens_transaction && !may_open_transaction(group, *primary)) {
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
    group.queue.start(*work);
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
    candidate.expects_lag_refusal = expects_lag_refusal(group, server, work, now);
    return candidate;
}

bool proxy::expects_lag_refusal(const database_group& group, const backend_server& server,
                                const task& work, time_point now) const
{
    return group.primary != server.id &&
           server.newest_position < work.required_position->position &&
           server.lag.expects_refusal(now - work.required_position->as_of, now);
}

proxy::read_candidates proxy::candidates_for_read(const database_group& group, const task& work,
                                                  dispatch::demand_table& demands,
                                                  time_point now) const
{
    read_candidates found;
    for (const backend_server* const server : group.servers) {
        const directory::server_record* const record = m_directory.find(server->id);
        if (record == nullptr || !is_usable(*server, now) ||
            work.avoided_servers.contains(server->id) ||
            is_avoided_for(group, *server, work, now)) {
            continue;
        }
        if (record->entry.draining && group.primary != server->id) {
            continue;
        }
        if (work.opens_transaction && !may_open_transaction(group, *server)) {
            continue;
        }
        const auto candidate = make_candidate(group, *server, work, now);
        if (candidate.distance != dispatch::proximity::remote && is_established(*server)) {
            found.own.push_back(candidate);
        }
        const auto has_connection = [&] {
            const auto& demand = demand_at(demands, *server, work.account);
            return demand.running + demand.opening > 0;
        };
        if (!candidate.needs_connection || may_open_connection(*server, work.account, now) ||
            (uses_accounts() && has_connection())) {
            found.all.push_back(candidate);
        }
    }
    return found;
}

void proxy::erase_unjustified_remote(database_group& group, const task& work,
                                     read_candidates& found, time_point now)
{
    for (auto best = dispatch::choose_for_read(found.all); best;
         best = dispatch::choose_for_read(found.all)) {
        const backend_server& target = *find_server(*best);
        if (target.distance != dispatch::proximity::remote ||
            may_leave_region(group, target, work, found.own,
                             !has_idle_connection(target, work.account), now)) {
            break;
        }
        std::erase_if(found.all,
                      [&](const dispatch::candidate& candidate) { return candidate.id == *best; });
    }
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
    read_candidates found = candidates_for_read(group, *work, demands, now);
    std::vector<dispatch::candidate>& candidates = found.all;
    const std::vector<dispatch::candidate>& own = found.own;
    if (candidates.empty() && !work->avoided_servers.empty()) {
        work->avoided_servers.clear();
        return false;
    }
    if (uses_accounts()) {
        erase_unjustified_remote(group, *work, found, now);
        return try_start_read_of_account(group, work, std::move(candidates), demands, now);
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
            group.queue.start(*work);
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

bool proxy::may_run(const database_group& group, const backend_server& server, const task& work,
                    time_point now) const
{
    if (!is_usable(server, now)) {
        return false;
    }
    if (work.needs_primary || group.primary == server.id) {
        return group.primary == server.id;
    }
    return !m_directory.find(server.id)->entry.draining &&
           !is_avoided_for(group, server, work, now) &&
           !(work.required_position && expects_lag_refusal(group, server, work, now));
}

bool proxy::runs_only_on_primary(const database_group& group, const task& work,
                                 time_point now) const
{
    if (work.needs_primary || !group.queue.is_fair()) {
        return work.needs_primary;
    }
    return std::none_of(
        group.servers.begin(), group.servers.end(), [&](const backend_server* server) {
            return group.primary != server->id && may_run(group, *server, work, now);
        });
}

std::uint32_t proxy::available_capacity(const database_group& group, const task& work,
                                        time_point now) const
{
    std::uint32_t total = 0;
    for (const backend_server* const server : group.servers) {
        if (may_run(group, *server, work, now)) {
            total += std::min(statement_limit(*server), connections_for(*server, work));
        }
    }
    return total;
}

duration proxy::connection_free_in(const database_group& group, const task& work,
                                   time_point now) const
{
    std::optional<time_point> first;
    for (const backend_server* const server : group.servers) {
        if (!may_run(group, *server, work, now)) {
            continue;
        }
        if (connections_for(*server, work) > 0) {
            return duration{0};
        }
        first = std::min(first.value_or(server->held_until), server->held_until);
    }
    return first ? std::max(*first - now, duration{0}) : duration{0};
}

duration proxy::expected_wait(const database_group& group, const task& work, std::size_t ahead,
                              time_point now) const
{
    const duration until_free = connection_free_in(group, work, now);
    return std::max(until_free +
                        group.estimate.expected_wait(ahead, available_capacity(group, work, now)),
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
    // A server that may be unreachable accepts or refuses an attempt only after a long time.
    const std::uint32_t opening_limit = server.outcomes.is_avoided() ? 1 : max_opening;
    if (server.opening_connections >= opening_limit || !may_open_connection(server, account, now)) {
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
