// Server connections of client accounts: which ones are opened, closed and waited for.
#include "gypsumstep/proxy/proxy.h"

#include <algorithm>
#include <numeric>

namespace gypsumstep::proxy {
namespace {

using detail::connection_phase;

/// Maximum number of connections to one server that this daemon opens at the same time; one more
/// for the most urgent statements. Each occupies a slot of the server while it starts.
constexpr std::uint32_t max_opening = 2;

/// A connection that was just opened is kept for its waiting statement this long, which may be
/// behind others in the queue. Longer than two ticks, in which a waiting statement is tried again.
constexpr duration first_use_period = 100ms;

/// Idle time after which a connection is closed although no other account needs it. Most of 84
/// accounts use a server again within this time; it only bounds what a daemon holds without load.
constexpr duration max_idle_time = 120s;

/// Time during which a server counts the connections of a lost daemon (3 s), with a margin. A
/// daemon that started or was refused a connection within it raises its limit slowly.
constexpr duration lost_connections_period = 4s;

/// Interval of raising the limit by one, otherwise: a new home reaches its share within seconds.
constexpr duration limit_raise_interval = 200ms;
constexpr duration slow_limit_raise_interval = 1s;

/// After a server refused a connection for having too many, idle connections with fewer expected
/// uses per second are closed, up to this part of all of them: other daemons need room.
constexpr double little_use = 0.1;
constexpr std::size_t closed_part_after_refusal = 4;

/// Connections of a daemon to a server without a limit: about one for each of 84 accounts.
constexpr std::uint32_t unlimited_share = 84;

/// Divisor of the moving average of the time to open a connection.
constexpr std::int64_t opening_time_smoothing = 8;

/// One in this many connections opened or closed for an account is logged.
constexpr std::uint64_t connection_log_interval = 16;

/// Returns true if the connection is free only when a client ends its transaction. One that is
/// being rolled back is free after a round trip, as after a statement.
bool is_held_by_client(const detail::server_connection& connection)
{
    return connection.transaction_owner ||
           (connection.in_transaction && connection.phase != connection_phase::rolling_back);
}

} // namespace

bool proxy::uses_accounts() const
{
    return m_options.accounts_required || m_routes.current().accounts.has_value();
}

std::vector<dispatch::pooled_connection> proxy::pool_of(const backend_server& server,
                                                        time_point now) const
{
    std::vector<dispatch::pooled_connection> pool;
    pool.reserve(server.connections.size());
    for (const server_connection_id id : server.connections) {
        const server_connection& connection = *m_connections.at(id);
        dispatch::pooled_connection entry{connection.account, dispatch::connection_use::running,
                                          connection.idle_since};
        if (is_held_by_client(connection)) {
            entry.use = dispatch::connection_use::in_transaction;
        }
        else if (connection.phase == connection_phase::opening) {
            entry.use = dispatch::connection_use::opening;
        }
        else if (connection.phase == connection_phase::idle) {
            const bool awaits_first_use =
                !connection.was_used && now - connection.idle_since < first_use_period;
            entry.use = awaits_first_use ? dispatch::connection_use::opening
                                         : dispatch::connection_use::idle;
        }
        pool.push_back(entry);
    }
    return pool;
}

std::optional<proxy::closable> proxy::find_closable(const backend_server& server,
                                                    std::optional<std::string_view> needed_by,
                                                    time_point now) const
{
    const auto chosen =
        dispatch::choose_to_close(pool_of(server, now), server.usage, needed_by, now);
    if (!chosen) {
        return std::nullopt;
    }
    const auto place = static_cast<std::ptrdiff_t>(chosen->place);
    return closable{*std::next(server.connections.begin(), place), chosen->reuse_rate};
}

void proxy::close_for_account(const backend_server& server, const closable& chosen,
                              const std::string& account, time_point now)
{
    const server_connection& connection = *m_connections.at(chosen.connection);
    if (m_connection_counts.closed_for_other++ % connection_log_interval == 0) {
        log_decision(importance::sampled, "closed an idle connection for another client account",
                     "",
                     {{"server", name_of(server.id)},
                      {"account", connection.account},
                      {"needed_by", account},
                      {"uses_per_1000s",
                       std::to_string(static_cast<std::int64_t>(chosen.reuse_rate * 1000.0))},
                      {"idle_us", std::to_string((now - connection.idle_since).count())},
                      {"open", std::to_string(server.connections.size())},
                      {"limit", std::to_string(server.connection_limit)}});
    }
    close_connection(chosen.connection, "another client account needed a connection", now);
}

dispatch::account_demand& proxy::demand_at(dispatch::demand_table& demands,
                                           const backend_server& server,
                                           const std::string& account) const
{
    const auto [found, is_new] = demands.try_emplace({server.id, account});
    if (is_new) {
        for (const server_connection_id id : server.connections) {
            const server_connection& connection = *m_connections.at(id);
            if (connection.account != account || is_held_by_client(connection)) {
                continue;
            }
            found->second.opening += connection.phase == connection_phase::opening ? 1 : 0;
            found->second.running += connection.phase != connection_phase::opening ? 1 : 0;
        }
    }
    return found->second;
}

proxy::opening_check proxy::check_opening(const backend_server& server, const task& work,
                                          const dispatch::account_demand& demand,
                                          time_point now) const
{
    opening_check check;
    const bool at_limit = server.connections.size() >= server.connection_limit;
    if (at_limit) {
        check.to_close = find_closable(server, work.account, now);
    }
    check.input.running = demand.running;
    check.input.opening = demand.opening;
    check.input.waiting_before = demand.waiting;
    check.input.mean_hold = server.usage.mean_hold();
    check.input.opening_time = server.opening_time;
    check.input.reuse_rate =
        server.usage.reuse_rate(work.account, demand.running + demand.opening + 1, now);
    check.input.closed_reuse_rate = check.to_close ? check.to_close->reuse_rate : 0.0;
    check.is_worthwhile = dispatch::is_opening_worthwhile(check.input);
    check.has_room = !at_limit || check.to_close;
    const bool urgent = work.priority == 0;
    check.may_open_now = now >= server.connect_after &&
                         server.opening_connections < max_opening + (urgent ? 1 : 0) &&
                         server.pace.may_open(urgent, now) &&
                         m_directory.find(server.id) != nullptr;
    return check;
}

bool proxy::await_connection(backend_server& server, const task_ptr& work,
                             dispatch::demand_table& demands, time_point now)
{
    dispatch::account_demand& demand = demand_at(demands, server, work->account);
    // Urgent statements have a reserve of the pace, so they are not blocked by others.
    if (demand.is_blocked && work->priority != 0) {
        ++demand.waiting;
        count_wait(*work, wait_cause::no_connection);
        return false;
    }
    const opening_check check = check_opening(server, *work, demand, now);
    ++demand.waiting;
    work->awaited_server = server.id;
    if (!check.is_worthwhile) {
        count_wait(*work, wait_cause::no_connection);
        return true;
    }
    if (!check.has_room || !check.may_open_now) {
        demand.is_blocked = true;
        count_wait(*work,
                   check.has_room ? wait_cause::no_connection : wait_cause::connection_limit);
        request_tick(tick_need::soon);
        return false;
    }
    if (check.to_close) {
        close_for_account(server, *check.to_close, work->account, now);
    }
    open_connection(server, work->account, now);
    ++demand.opening;
    count_wait(*work, wait_cause::no_connection);
    return true;
}

bool proxy::try_start_read_of_account(database_group& group, const task_ptr& work,
                                      std::vector<dispatch::candidate> candidates,
                                      dispatch::demand_table& demands, time_point now)
{
    const auto start_on = [&](server_id id) {
        backend_server& server = *find_server(id);
        server_connection* const connection = find_idle_connection(server, work.get());
        if (connection == nullptr) {
            return false;
        }
        group.queue.start(*work);
        work->queued = false;
        if (server.outcomes.is_avoided()) {
            server.outcomes.on_probe_sent(now);
        }
        assign(*connection, work, now);
        return true;
    };
    const auto best = dispatch::choose_for_read(candidates);
    if (!best) {
        count_wait(*work, wait_cause::slots);
        return false;
    }
    if (start_on(*best)) {
        return true;
    }
    backend_server& target = *find_server(*best);
    // A connection that is being opened for the read is used, also if another server looks
    // better by now; otherwise one read would open connections on several servers.
    if (backend_server* const awaited =
            work->awaited_server ? find_server(*work->awaited_server) : nullptr;
        awaited != nullptr && awaited != &target) {
        dispatch::account_demand& demand = demand_at(demands, *awaited, work->account);
        if (demand.opening > demand.waiting) {
            ++demand.waiting;
            return false;
        }
    }
    std::erase_if(candidates,
                  [](const dispatch::candidate& entry) { return entry.needs_connection; });
    const auto elsewhere = dispatch::choose_for_read(candidates);
    if (!elsewhere) {
        (void)await_connection(target, work, demands, now);
        return false;
    }
    const dispatch::account_demand& demand = demand_at(demands, target, work->account);
    const opening_check check = check_opening(target, *work, demand, now);
    const bool is_as_near = find_server(*elsewhere)->distance <= target.distance;
    const bool waits_for_opening =
        check.is_worthwhile && (demand.is_blocked || !check.has_room || !check.may_open_now ||
                                dispatch::displaces_better_connection(check.input));
    if (is_as_near || waits_for_opening) {
        return start_on(*elsewhere);
    }
    (void)await_connection(target, work, demands, now);
    return false;
}

bool proxy::has_free_slot(const database_group& group, const task& work) const
{
    return std::any_of(group.servers.begin(), group.servers.end(), [&](const auto* server) {
        return server->running < statement_limit_for(work, *server);
    });
}

void proxy::count_wait(task& work, wait_cause cause)
{
    const auto bit = static_cast<std::uint8_t>(1U << static_cast<unsigned>(cause));
    if ((work.counted_waits & bit) != 0) {
        return;
    }
    work.counted_waits |= bit;
    switch (cause) {
    case wait_cause::no_connection:
        ++m_connection_counts.waits_for_connection;
        break;
    case wait_cause::connection_limit:
        ++m_connection_counts.waits_for_limit;
        break;
    case wait_cause::slots:
        ++m_connection_counts.waits_for_slot;
        break;
    }
}

void proxy::open_connection(backend_server& server, const std::string& account, time_point now)
{
    const directory::server_record* const record = m_directory.find(server.id);
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
    server.pace.on_opened(now);
    if (m_connection_counts.opened++ % connection_log_interval == 0 && uses_accounts()) {
        log_decision(importance::sampled, "opened a connection for a client account", "",
                     {{"server", name_of(server.id)},
                      {"account", account},
                      {"uses_per_1000s", std::to_string(static_cast<std::int64_t>(
                                             server.usage.rate(account, now) * 1000.0))},
                      {"open", std::to_string(server.connections.size())},
                      {"limit", std::to_string(server.connection_limit)}});
    }
    const directory::server_entry& entry = record == nullptr ? server.entry : record->entry;
    emit(open_server_connection{id, entry.host, entry.port, entry.service, entry.name, account});
}

void proxy::open_probe_connection(backend_server& server, const std::string& account,
                                  time_point now)
{
    if (now < server.connect_after || server.opening_connections > 0 ||
        (m_directory.find(server.id) == nullptr && !is_being_released(server))) {
        return;
    }
    if (server.connections.size() >= server.connection_limit) {
        // The proxy's own commands need any connection. If clients' transactions hold all, it
        // opens one beyond its share, which the reserve of the shares allows.
        if (const auto chosen = find_closable(server, std::nullopt, now)) {
            close_for_account(server, *chosen, account, now);
        }
        else if (server.connections.size() > server.connection_limit) {
            return;
        }
    }
    open_connection(server, account.empty() ? usual_account(server, now) : account, now);
}

std::string proxy::usual_account(const backend_server& server, time_point now) const
{
    if (std::string busiest = server.usage.busiest(now); !busiest.empty()) {
        return busiest;
    }
    const auto& configured = m_routes.current().accounts;
    if (!configured || configured->accounts().empty()) {
        return {};
    }
    const auto& all = configured->accounts();
    return std::max_element(all.begin(), all.end(),
                            [](const auto& left, const auto& right) {
                                return left.second.rate_per_second < right.second.rate_per_second;
                            })
        ->first;
}

void proxy::on_connection_taken(server_connection& connection, const task& work, time_point now)
{
    if (connection.taken_at) {
        return;
    }
    m_connection_counts.reused += connection.was_used ? 1 : 0;
    connection.was_used = true;
    connection.taken_at = now;
    find_server(connection.server)->usage.on_taken(work.account, now);
}

void proxy::on_connection_returned(server_connection& connection, time_point now)
{
    if (connection.taken_at) {
        find_server(connection.server)->usage.on_returned(now - *connection.taken_at);
        connection.taken_at.reset();
    }
}

void proxy::on_connection_opened(backend_server& server, const server_connection& connection,
                                 time_point now)
{
    const duration took = now - connection.command_sent_at;
    server.opening_time += (took - server.opening_time) / opening_time_smoothing;
}

void proxy::on_too_many_connections(backend_server& server, time_point now)
{
    server.too_many_at = now;
    if (!uses_accounts()) {
        return;
    }
    std::size_t closed = 0;
    const std::size_t max_closed = server.connections.size() / closed_part_after_refusal;
    for (auto chosen = find_closable(server, std::nullopt, now);
         chosen && chosen->reuse_rate < little_use && closed < max_closed;
         chosen = find_closable(server, std::nullopt, now)) {
        close_connection(chosen->connection, "the server has too many connections", now);
        ++m_connection_counts.closed_for_limit;
        ++closed;
    }
    server.connection_limit -=
        std::min(static_cast<std::uint32_t>(closed), server.connection_limit - 1);
}

std::uint32_t proxy::connection_share_of(const backend_server& server) const
{
    const group_share share = share_of(server.service);
    if (!uses_accounts() || share.homes == 0) {
        return share.connections;
    }
    if (share.max_connections == 0) {
        return unlimited_share;
    }
    const auto& regions = m_options.regions;
    const auto region = regions.find(server.entry.domain);
    const auto here = regions.find(m_options.domain);
    if (region == regions.end() || here == regions.end()) {
        return share.connections;
    }
    const database_group& group = *m_groups.find(server.service)->second;
    dispatch::share_input input;
    input.max_connections = share.max_connections;
    input.homes = share.homes;
    input.is_primary = group.primary == server.id;
    const std::set<std::string> served = served_regions(group);
    input.homes_near = dispatch::count_homes_near(share.homes_by_region, served, region->second);
    input.is_near = here->second == region->second || !served.contains(here->second);
    return dispatch::connection_share(input);
}

std::set<std::string> proxy::served_regions(const database_group& group) const
{
    std::set<std::string> served;
    for (const backend_server* const server : group.servers) {
        const directory::server_record* const record = m_directory.find(server->id);
        const auto region = m_options.regions.find(server->entry.domain);
        if (record != nullptr && region != m_options.regions.end() &&
            (!record->entry.draining || group.primary == server->id)) {
            served.insert(region->second);
        }
    }
    return served;
}

void proxy::update_connections(backend_server& server, time_point now)
{
    const directory::server_record* const record = m_directory.find(server.id);
    if (record != nullptr) {
        server.pace.set_capacity(record->entry.slots, share_of(server.service).homes, now);
    }
    const std::uint32_t share = connection_share_of(server);
    const bool slow = now - server.added_at < lost_connections_period ||
                      now - server.too_many_at < lost_connections_period;
    if (server.connection_limit > share) {
        // The server's role changed, or more daemons share it: others need the room.
        server.connection_limit = share;
    }
    else if (server.connection_limit < share &&
             now - server.connection_limit_raised_at >=
                 (slow ? slow_limit_raise_interval : limit_raise_interval)) {
        ++server.connection_limit;
        server.connection_limit_raised_at = now;
    }
    while (server.connections.size() > server.connection_limit) {
        const auto chosen = find_closable(server, std::nullopt, now);
        if (!chosen) {
            break;
        }
        close_connection(chosen->connection, "this daemon's share of connections is used up", now);
        ++m_connection_counts.closed_for_limit;
    }
}

bool proxy::is_idle_too_long(const server_connection& connection, time_point now)
{
    const backend_server& server = *find_server(connection.server);
    const bool is_home = is_home_of(server.service);
    const duration timeout =
        is_home && uses_accounts() ? max_idle_time : m_options.idle_connection_timeout;
    return now - connection.idle_since >= timeout &&
           server.connections.size() > (is_home ? m_options.min_idle_connections : 0);
}

duration proxy::connection_wait(const database_group& group, const task& work, time_point now) const
{
    if (!uses_accounts()) {
        return duration{0};
    }
    std::optional<duration> shortest;
    for (const backend_server* const server : group.servers) {
        if (!is_usable(*server, now) || (work.needs_primary && group.primary != server->id)) {
            continue;
        }
        const duration wait = connection_wait_at(*server, work, now);
        shortest = shortest ? std::min(*shortest, wait) : wait;
    }
    return shortest.value_or(duration{0});
}

duration proxy::connection_wait_at(const backend_server& server, const task& work,
                                   time_point now) const
{
    std::uint32_t taken = 0;
    duration total_age{0};
    bool has_room = server.connections.size() < server.connection_limit;
    for (const server_connection_id id : server.connections) {
        const server_connection& connection = *m_connections.at(id);
        const bool is_held = is_held_by_client(connection);
        if (connection.account == work.account && !is_held) {
            return duration{0};
        }
        has_room = has_room || !is_held;
        if (is_held) {
            ++taken;
            total_age += now - connection.taken_at.value_or(now);
        }
    }
    if (has_room) {
        return server.opening_time + server.pace.wait_for(1, now);
    }
    return dispatch::wait_for_returned_connection(server.usage.mean_hold(),
                                                  total_age / std::max(taken, 1U), 0, taken);
}

} // namespace gypsumstep::proxy
