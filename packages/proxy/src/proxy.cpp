#include "gypsumstep/proxy/proxy.h"

#include <algorithm>
#include <utility>

namespace gypsumstep::proxy {

proxy::proxy(options chosen) : m_options{std::move(chosen)}, m_random{m_options.seed} {}

proxy::~proxy() = default;

bool proxy::ready() const
{
    return m_routes.loaded() && m_directory.loaded() && !m_shutdown_at;
}

listing_urgency proxy::server_listing_urgency() const
{
    listing_urgency need = listing_urgency::none;
    if (!m_directory.loaded()) {
        return listing_urgency::urgent;
    }
    for (const auto& [name, each] : m_groups) {
        if (!serves(name) && !has_links(name)) {
            continue;
        }
        if (!each->leader || each->promotion.in_progress()) {
            return listing_urgency::urgent;
        }
        const auto servers = m_directory.servers_of(name);
        const bool missing =
            std::any_of(servers.begin(), servers.end(), [](const directory::server_record* one) {
                return one->missing_since.has_value();
            });
        need = std::max(need, missing ? listing_urgency::soon : listing_urgency::normal);
    }
    return need;
}

bool proxy::has_links(const std::string& service) const
{
    return std::any_of(m_servers.begin(), m_servers.end(), [&service](const auto& each) {
        return each.second->service == service && !each.second->links.empty();
    });
}

std::vector<action> proxy::take_actions()
{
    return std::exchange(m_actions, {});
}

proxy_gauges proxy::gauges() const
{
    proxy_gauges now;
    now.sessions = m_sessions.size();
    now.server_connections = m_links.size();
    for (const auto& [name, each] : m_groups) {
        now.waiting_statements += each->queue.size();
    }
    for (const auto& [id, each] : m_servers) {
        now.running_statements += each->running;
    }
    return now;
}

proxy::session* proxy::find_session(session_id id)
{
    const auto found = m_sessions.find(id);
    return found == m_sessions.end() ? nullptr : found->second.get();
}

proxy::link* proxy::find_link(server_connection_id id)
{
    const auto found = m_links.find(id);
    return found == m_links.end() ? nullptr : found->second.get();
}

proxy::server* proxy::find_server(server_id id)
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : found->second.get();
}

} // namespace gypsumstep::proxy
