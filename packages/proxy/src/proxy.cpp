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

bool proxy::wants_fresh_servers() const
{
    if (m_directory.has_missing()) {
        return true;
    }
    return std::any_of(m_groups.begin(), m_groups.end(), [this](const auto& each) {
        return serves(each.first) && (!each.second->leader || each.second->promotion.in_progress());
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
