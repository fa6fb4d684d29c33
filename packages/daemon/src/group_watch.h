/// \file
/// Monitors the servers of one group and replaces a failed primary.
#pragma once

#include "claim_store.h"
#include "server_monitor.h"

#include "gypsumstep/failover/group_watcher.h"
#include "gypsumstep/fleet/document.h"
#include "gypsumstep/platform/client.h"
#include "gypsumstep/routing/choose_server.h"

#include <QTimer>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace gypsumstep::daemon {

/// Runs one failover::group_watcher: passes events to it and performs its actions.
class group_watch : public QObject {
public:
    using view_handler = std::function<void(const routing::group_view&)>;
    using order_handler = std::function<void(const failover::order_finished&)>;

    /// \param self identifies this run of the daemon
    /// \param platform outlives this object
    /// \param on_view called with the new view after a server answered or failed to answer
    group_watch(const fleet::document& document, group_id group, daemon_id self,
                platform::client& platform, view_handler on_view);

    /// Makes \p target the primary on an operator's order; without a target, the watcher
    /// chooses one.
    /// \param on_finished called once with the outcome
    void promote(const std::optional<server_id>& target, order_handler on_finished);

    /// Applies a new configuration version, which must have the same servers.
    ///
    /// Starts a promotion if the primary is marked as leaving.
    void apply(const fleet::document& document);

private:
    struct watched_server {
        fleet::server server;
        std::unique_ptr<server_monitor> monitor;
        routing::server_view view;
        failover::primary_view reported;
        bool reports_primary{false};
    };

    void step(const failover::event& event);
    void perform(const failover::request_grant& action);
    void perform(const failover::promote& action);
    void perform(const failover::follow_primary& action);
    void perform(const failover::read_claim& action);
    void perform(const failover::write_claim& action);
    void perform(const failover::send_suspicion& action);
    void perform(const failover::announce& action);
    void perform(const failover::order_finished& action);

    void apply_status(watched_server& target, const server_status& status);
    void on_server_lost(watched_server& target);
    void publish();
    [[nodiscard]] failover::primary_view primary_from(const nlohmann::json& fields) const;

    std::string m_database;
    group_id m_group;
    view_handler m_on_view;
    claim_store m_claims;
    std::map<server_id, watched_server> m_servers;
    std::map<std::string, server_id> m_names;
    failover::group_watcher m_watcher;
    std::map<std::uint64_t, order_handler> m_orders;
    std::uint64_t m_next_order{1};
    QTimer m_tick_timer;
};

} // namespace gypsumstep::daemon
