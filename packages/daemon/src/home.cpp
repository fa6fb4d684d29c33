#include "home.h"

namespace gypsumstep::daemon {

home::home(fleet::document document, daemon_id self, const std::string& platform_url,
           front_home_channels& channels)
    : m_document{std::move(document)}, m_self{self},
      m_platform{platform::client_options{platform_url}, self.value()}, m_channels{channels}
{
    for (const fleet::server& server : m_document.servers) {
        m_pools[server.id] = std::make_unique<server_pool>(
            server, m_document.groups[server.group.value()].name, m_document.ranks,
            [this](const execute_answer& answer) { (void)m_channels.answers.push(answer); });
    }
}

void home::begin()
{
    for (const fleet::group& group : m_document.groups) {
        m_watches.push_back(std::make_unique<group_watch>(
            m_document, group.id, m_self, m_platform,
            [this](const routing::group_view& view) { on_view(view); }));
    }
}

void home::on_view(const routing::group_view& view)
{
    for (const routing::server_view& server : view.servers) {
        m_pools[server.id]->update(server.reachable, view.current_term, server.id == view.primary);
    }
    // A view that does not fit is replaced by the next one.
    (void)m_channels.views.push(view);
}

void home::drain()
{
    m_channels.requests.drain([this](execute_request request) {
        server_pool& pool = *m_pools.at(request.server);
        pool.execute(std::move(request));
    });
    m_channels.releases.drain([this](const release_request& request) {
        m_pools.at(request.server)->release(request.binding);
    });
}

} // namespace gypsumstep::daemon
