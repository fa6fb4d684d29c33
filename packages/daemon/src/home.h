/// \file
/// The home duty: connections to backend servers and the watch over their groups.
#pragma once

#include "group_watch.h"
#include "messages.h"
#include "server_pool.h"

#include "gypsumstep/fleet/document.h"

#include <QObject>

#include <map>
#include <memory>

namespace gypsumstep::daemon {

/// Serves execute requests for the servers that this daemon is a home of.
class home : public QObject {
public:
    /// \param self this run of the daemon
    home(fleet::document document, daemon_id self, const std::string& platform_url,
         listener_home_channels& channels, view_channel& operator_views);

    /// Starts to watch the groups; the rings must be wired before.
    void begin();

    /// Takes in a new version of the configuration: automation and leaving servers.
    void apply(const fleet::document& document);

    /// Makes \p server the primary of its group; \p done is called on the home's thread.
    void promote(group_id group, server_id server, const group_watch::order_handler& done);

    /// Takes what waits in the rings.
    void drain();

private:
    void on_view(const routing::group_view& view);

    fleet::document m_document;
    daemon_id m_self;
    platform::client m_platform;
    listener_home_channels& m_channels;
    view_channel& m_operator_views;
    std::map<server_id, std::unique_ptr<server_pool>> m_pools;
    std::vector<std::unique_ptr<group_watch>> m_watches;
};

} // namespace gypsumstep::daemon
