#include "home.h"

#include "gypsumstep/logging/logging.h"

#include <algorithm>

namespace gypsumstep::daemon {
namespace {

const logging::logger& log()
{
    static const logging::logger instance{"home"};
    return instance;
}

} // namespace

home::home(fleet::document document, daemon_id self, const std::string& platform_url,
           listener_home_channels& channels, view_channel& operator_views)
    : m_document{std::move(document)}, m_self{self},
      m_platform{platform::client_options{platform_url}, self.value()}, m_channels{channels},
      m_operator_views{operator_views}
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

void home::apply(const fleet::document& document)
{
    const auto same_server = [](const fleet::server& left, const fleet::server& right) {
        return left.name == right.name && left.address == right.address && left.port == right.port;
    };
    if (!std::ranges::equal(document.servers, m_document.servers, same_server)) {
        log().warn("servers were added, removed or moved: restart this daemon to use them",
                   {{"version", document.version.value()}});
        return;
    }
    m_document = document;
    for (const fleet::group& group : document.groups) {
        m_watches[group.id.value()]->apply(document);
    }
}

void home::promote(group_id group, server_id server, const group_watch::order_handler& done)
{
    m_watches[group.value()]->promote(server, done);
}

void home::on_view(const routing::group_view& view)
{
    for (const routing::server_view& server : view.servers) {
        m_pools[server.id]->update(server.reachable, view.current_term, server.id == view.primary);
    }
    // A view may be dropped when a channel is full: the next one replaces it.
    (void)m_channels.views.push(view);
    (void)m_operator_views.push(view);
}

void home::drain()
{
    m_channels.requests.drain(
        [this](const execute_request& request) { m_pools.at(request.server)->execute(request); });
    m_channels.releases.drain([this](const release_request& request) {
        m_pools.at(request.server)->release(request.binding);
    });
}

} // namespace gypsumstep::daemon
