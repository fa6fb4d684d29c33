/// \file
/// Connections to backend servers and the monitoring of their groups.
#pragma once

#include "group_watch.h"
#include "messages.h"
#include "server_pool.h"

#include "gypsumstep/fleet/document.h"

#include <QObject>

#include <map>
#include <memory>

namespace gypsumstep::daemon {

/// Runs execute requests on the servers that this daemon is a home of. Runs on a thread of
/// its own.
class home : public QObject {
public:
    /// \param self identifies this run of the daemon
    home(fleet::document document, daemon_id self, const std::string& platform_url,
         listener_home_channels& channels, view_channel& operator_views);

    /// Starts to monitor the groups. The channels must be connected before.
    void begin();

    /// Applies automation and leaving servers of a new configuration version.
    ///
    /// Logs a warning and applies nothing if servers were added, removed or moved.
    void apply(const fleet::document& document);

    /// Makes \p server the primary of its group; \p done is called on the home's thread.
    void promote(group_id group, server_id server, const group_watch::order_handler& done);

    /// Handles everything that waits in the channels.
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
