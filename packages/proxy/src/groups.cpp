// Database groups: configuration, servers, shares, choice of the primary.
#include "gypsumstep/proxy/proxy.h"

#include <algorithm>

namespace gypsumstep::proxy {
namespace {

/// Watermarks are kept this much longer than the largest staleness limit of any route.
constexpr duration watermark_slack = 1s;

} // namespace

proxy::database_group& proxy::group_of(const std::string& service)
{
    auto& found = m_groups[service];
    if (!found) {
        found =
            std::make_unique<database_group>(service, m_options.daemon, m_random.below(UINT64_MAX));
        found->watermarks.set_retention(m_routes.max_staleness() + watermark_slack);
        found->queue.set_fair(uses_accounts());
    }
    return *found;
}

proxy::database_group* proxy::find_group(const std::string& service)
{
    const auto found = m_groups.find(service);
    return found == m_groups.end() ? nullptr : found->second.get();
}

void proxy::on_configuration(directory::configuration next, time_point now)
{
    const auto version = next.version;
    const auto routes = next.routes.size();
    if (!m_routes.apply(std::move(next))) {
        return;
    }
    log_decision(
        importance::notice, "put a configuration in force", "",
        {{"configuration", std::to_string(version.value())}, {"routes", std::to_string(routes)}});
    for (const std::string& problem : m_routes.current().ignored_entries) {
        log_decision(importance::failure, "ignored a malformed entry of the configuration", "",
                     {{"configuration", std::to_string(version.value())}, {"problem", problem}});
    }
    for (auto& [name, group] : m_groups) {
        group->watermarks.set_retention(m_routes.max_staleness() + watermark_slack);
        group->queue.set_fair(uses_accounts());
        dispatch(*group, now);
    }
}

void proxy::on_servers(const std::vector<directory::server_entry>& listing, time_point now)
{
    request_tick(tick_need::soon);
    const directory::directory_change change = m_directory.update(listing, now);
    for (const server_id id : change.added) {
        add_server(*m_directory.find(id), now);
    }
    const auto report = [this](const char* message, const std::vector<server_id>& ids) {
        for (const server_id id : ids) {
            const directory::server_entry& entry = m_directory.find(id)->entry;
            log_decision(
                importance::notice, message, "",
                {{"server", entry.name}, {"service", entry.service}, {"domain", entry.domain}});
        }
    };
    report("a backend server registered", change.added);
    report("a backend server is draining", change.started_draining);
    report("a backend server's registration lapsed", change.missing);
    report("a backend server changed its role", change.role_changed);
    for (const server_id id : change.role_changed) {
        find_server(id)->not_primary_until = {};
    }
    for (const server_id id : change.removed) {
        log_decision(
            importance::notice, "a backend server is gone", "",
            {{"server", std::to_string(id.value())}, {"service", find_server(id)->service}});
        remove_server(id, now);
    }
    for (auto& [name, group] : m_groups) {
        choose_primary(*group, now);
        dispatch(*group, now);
    }
    for (const server_id id : change.added) {
        if (is_home_of(find_server(id)->service)) {
            open_connection_if_allowed(*find_server(id), {}, now);
        }
    }
}

void proxy::set_served_groups(std::map<std::string, group_share, std::less<>> services,
                              time_point now)
{
    request_tick(tick_need::soon);
    m_served_groups = std::move(services);
    for (auto& [id, server] : m_servers) {
        if (server->connections.empty() && is_home_of(server->service)) {
            open_connection_if_allowed(*server, {}, now);
        }
    }
}

bool proxy::is_home_of(const std::string& service) const
{
    return !m_served_groups || m_served_groups->contains(service);
}

group_share proxy::share_of(const std::string& service) const
{
    if (m_served_groups) {
        if (const auto found = m_served_groups->find(service); found != m_served_groups->end()) {
            return found->second;
        }
    }
    return {m_options.connections_per_server, 0};
}

dispatch::proximity proxy::proximity_of(const std::string& domain) const
{
    if (domain == m_options.domain) {
        return dispatch::proximity::same_domain;
    }
    const auto there = m_options.regions.find(domain);
    const auto here = m_options.regions.find(m_options.domain);
    const bool same = there != m_options.regions.end() && here != m_options.regions.end() &&
                      there->second == here->second;
    return same ? dispatch::proximity::same_region : dispatch::proximity::remote;
}

void proxy::add_server(const directory::server_record& record, time_point now)
{
    auto added = std::make_unique<backend_server>();
    added->id = record.id;
    added->entry = record.entry;
    added->service = record.entry.service;
    added->distance = proximity_of(record.entry.domain);
    // The limit starts low and is raised over time: after a restart of all daemons, the servers
    // still count the old connections.
    added->added_at = now;
    added->pace.set_capacity(record.entry.slots, share_of(record.entry.service).homes, now);
    added->connection_limit = m_options.min_idle_connections;
    group_of(record.entry.service).servers.push_back(added.get());
    m_servers.emplace(record.id, std::move(added));
}

void proxy::erase_server(server_id id)
{
    backend_server* const server = find_server(id);
    std::erase(group_of(server->service).servers, server);
    m_servers.erase(id);
}

void proxy::remove_server(server_id id, time_point now)
{
    backend_server& server = *find_server(id);
    if (database_group* const group = find_group(server.service);
        group != nullptr && group->primary == id) {
        group->primary.reset();
    }
    // Connections with statements in flight stay open until these finish.
    const std::set<server_connection_id> connections = server.connections;
    for (const server_connection_id connection_id : connections) {
        const server_connection* const connection = find_connection(connection_id);
        if (connection != nullptr && connection->phase == detail::connection_phase::idle) {
            close_connection(connection_id, "the server is gone", now);
        }
    }
    if (server.connections.empty() && !is_former_primary(server)) {
        erase_server(id);
    }
}

void proxy::choose_primary(database_group& group, time_point now)
{
    const directory::server_record* best = nullptr;
    for (const directory::server_record* record : m_directory.servers_of(group.service)) {
        const backend_server* const server = find_server(record->id);
        if (record->entry.role != directory::server_role::primary || server == nullptr ||
            now < server->not_primary_until || !may_lead(*server)) {
            continue;
        }
        if (best == nullptr || record->role_listing_number > best->role_listing_number ||
            (record->role_listing_number == best->role_listing_number &&
             record->id == group.primary)) {
            best = record;
        }
    }
    // A server that answered as the primary is taken for it before its registration says so.
    if (group.primary) {
        const backend_server* const server = find_server(*group.primary);
        const directory::server_record* const record = m_directory.find(*group.primary);
        const bool still_valid = server != nullptr && record != nullptr &&
                                 now >= server->not_primary_until && may_lead(*server) &&
                                 (record->entry.role == directory::server_role::primary ||
                                  record->role_listing_number <= group.primary_listing);
        if (still_valid &&
            (best == nullptr || best->role_listing_number <= group.primary_listing)) {
            return;
        }
    }
    const std::optional<server_id> chosen =
        best == nullptr ? std::nullopt : std::optional{best->id};
    if (chosen == group.primary) {
        return;
    }
    log_decision(importance::notice,
                 chosen ? "took a server for the primary" : "no primary is known", "",
                 {{"service", group.service},
                  {"server", chosen ? name_of(*chosen) : ""},
                  {"before", group.primary ? name_of(*group.primary) : ""}});
    set_primary(group, chosen);
}

void proxy::set_primary(database_group& group, std::optional<server_id> chosen)
{
    group.primary = chosen;
    group.primary_listing = m_directory.listing_number();
    if (chosen) {
        group.saw_primary = true;
        group.last_primary = chosen;
        if (group.demoted && group.demoted->first == *chosen) {
            group.demoted.reset();
        }
    }
}

} // namespace gypsumstep::proxy
