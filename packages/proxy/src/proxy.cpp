#include "gypsumstep/proxy/proxy.h"

#include <algorithm>
#include <utility>

namespace gypsumstep::proxy {

proxy::proxy(options chosen) : m_options{std::move(chosen)}, m_random{m_options.seed}
{
    if (!m_options.old_primary_stops) {
        m_exchange.emplace(m_options.daemon, m_random.below(UINT64_MAX));
    }
}

proxy::~proxy() = default;

bool proxy::ready() const
{
    return m_routes.loaded() && m_directory.loaded() && !m_shutdown;
}

listing_urgency proxy::server_listing_urgency() const
{
    listing_urgency need = listing_urgency::none;
    if (!m_directory.loaded()) {
        return listing_urgency::urgent;
    }
    for (const auto& [name, group] : m_groups) {
        if (!is_home_of(name) && !has_connections(*group)) {
            continue;
        }
        if (!group->primary || group->promotion.in_progress()) {
            return listing_urgency::urgent;
        }
        const auto servers = m_directory.servers_of(name);
        const bool missing =
            std::any_of(servers.begin(), servers.end(), [](const directory::server_record* record) {
                return record->missing_since.has_value();
            });
        need = std::max(need, missing ? listing_urgency::soon : listing_urgency::normal);
    }
    return need;
}

bool proxy::has_connections(const database_group& group)
{
    return std::any_of(group.servers.begin(), group.servers.end(),
                       [](const backend_server* server) { return !server->connections.empty(); });
}

std::vector<action> proxy::take_actions()
{
    close_answered_sessions();
    return std::exchange(m_actions, {});
}

proxy_gauges proxy::gauges() const
{
    proxy_gauges gauges;
    gauges.sessions = m_sessions.size();
    gauges.server_connections = m_connections.size();
    gauges.connections = m_connection_counts;
    for (const auto& [name, group] : m_groups) {
        gauges.waiting_statements += group->queue.size();
        gauges.waiting_accounts += group->queue.waiting_accounts();
    }
    for (const auto& [id, server] : m_servers) {
        gauges.running_statements += server->running;
        gauges.avoided_servers += server->outcomes.is_avoided() ? 1 : 0;
    }
    return gauges;
}

proxy::client_session* proxy::find_session(session_id id)
{
    const auto found = m_sessions.find(id);
    return found == m_sessions.end() ? nullptr : found->second.get();
}

proxy::server_connection* proxy::find_connection(server_connection_id id)
{
    const auto found = m_connections.find(id);
    return found == m_connections.end() ? nullptr : found->second.get();
}

proxy::backend_server* proxy::find_server(server_id id)
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : found->second.get();
}

} // namespace gypsumstep::proxy
