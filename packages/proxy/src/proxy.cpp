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

listing_need proxy::need_of_listing() const
{
    listing_need need = listing_need::none;
    if (!m_directory.loaded()) {
        return listing_need::urgent;
    }
    for (const auto& [name, each] : m_groups) {
        if (!serves(name) && !has_links(name)) {
            continue;
        }
        if (!each->leader || each->promotion.in_progress()) {
            return listing_need::urgent;
        }
        const auto servers = m_directory.servers_of(name);
        const bool missing =
            std::any_of(servers.begin(), servers.end(), [](const directory::server_record* one) {
                return one->missing_since.has_value();
            });
        need = std::max(need, missing ? listing_need::soon : listing_need::calm);
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

proxy_numbers proxy::numbers() const
{
    proxy_numbers now;
    now.sessions = m_sessions.size();
    now.links = m_links.size();
    for (const auto& [name, each] : m_groups) {
        now.waiting += each->queue.size();
    }
    for (const auto& [id, each] : m_servers) {
        now.running += each->running;
    }
    return now;
}

proxy::session* proxy::find_session(session_id id)
{
    const auto found = m_sessions.find(id);
    return found == m_sessions.end() ? nullptr : found->second.get();
}

proxy::link* proxy::find_link(link_id id)
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
