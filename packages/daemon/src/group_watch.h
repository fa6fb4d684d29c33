/// \file
/// Watches the servers of one group by asking each for its status.
#pragma once

#include "gypsumstep/backend/connection.h"
#include "gypsumstep/fleet/document.h"
#include "gypsumstep/routing/choose_server.h"

#include <QTimer>

#include <functional>
#include <memory>
#include <vector>

namespace gypsumstep::daemon {

/// Keeps a view of one group up to date.
class group_watch : public QObject {
public:
    using view_handler = std::function<void(const routing::group_view&)>;

    /// \param on_view called whenever a server's answer arrived or went missing
    group_watch(const fleet::document& document, group_id group, view_handler on_view);

private:
    struct watched_server {
        fleet::server server;
        std::unique_ptr<backend::connection> connection;
        routing::server_view view;
        term reported_term;
        bool reports_primary{false};
        time_point asked_at{};
        bool waiting{false};
    };

    void poll();
    void ask(watched_server& target);
    void take_status(watched_server& target, const std::string& status);
    void reconnect(watched_server& target);
    void publish();

    std::string m_database;
    group_id m_group;
    view_handler m_on_view;
    std::vector<std::unique_ptr<watched_server>> m_servers;
    QTimer m_timer;
};

} // namespace gypsumstep::daemon
