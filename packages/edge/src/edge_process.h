/// \file
/// The daemon on the users' platform.
#pragma once

#include "client_listener.h"
#include "daemon_roster.h"
#include "edge_metrics.h"
#include "http_responder.h"
#include "line_logger.h"
#include "promotion_caller.h"
#include "server_links.h"
#include "session_forwarder.h"
#include "store_clock.h"
#include "store_follower.h"

#include "gypsumstep/adapter/node_settings.h"
#include "gypsumstep/metrics/registry.h"
#include "gypsumstep/proxy/proxy.h"
#include "gypsumstep/runtime/signal_watch.h"

#include <QObject>
#include <QTimer>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace gypsumstep::edge {

/// Joins the proxy with sockets, the store, signals and the clock, in one event loop.
class edge_process : public QObject {
public:
    /// \param settings_file read again on SIGHUP
    /// \param output flushed with every tick
    edge_process(adapter::node_settings settings, std::string settings_file, line_logger& output);

    /// Listens and starts to follow the store; false if an address cannot be used.
    [[nodiscard]] bool start();

private:
    /// A session that waits for a newer configuration, list of servers or list of daemons.
    struct held_start {
        adapter::start_message message;
        time_point limit{};
    };

    void run_actions();
    void run(proxy::send_answer& next);
    void run(proxy::send_start_answer& next);
    void run(proxy::close_session& next);
    void run(proxy::open_server_connection& next);
    void run(proxy::send_command& next);
    void run(proxy::close_server_connection& next);
    void run(proxy::promotion_step& next);
    void run(proxy::refresh_servers& next);
    void run(proxy::decision& next);
    void run(proxy::statement_finished& next);
    void run(proxy::shutdown_complete& next);
    client_events events_of_clients();
    client_events events_of_daemons();
    client_listener& listener_of(session_id id);
    void on_client_started(session_id id, const adapter::start_message& message);
    void start_session(session_id id, const adapter::start_message& message);
    void run_early_starts();
    void on_client_closed(session_id id);
    void on_forwarded_start(session_id id, const adapter::start_message& message);
    [[nodiscard]] bool has_configuration(const adapter::start_message& wanted) const;
    [[nodiscard]] bool has_usable_listing(time_point now) const;
    void retry_held_starts();
    [[nodiscard]] proxy::group_share share_of(const std::string& service,
                                              std::uint32_t max_connections) const;
    void update_served();
    void on_tick();
    void on_signal(int number);
    void reload();
    adapter::http_response respond_readiness(const std::string& path);
    adapter::http_response respond_metrics();

    adapter::node_settings m_settings;
    std::string m_settings_file;
    line_logger& m_output;
    metrics::registry m_registry;
    edge_metrics m_metrics;
    proxy::proxy m_proxy;
    store_clock m_clock;
    daemon_roster m_roster;
    client_listener m_clients;
    client_listener m_forwarding_daemons; ///< sessions that other daemons forward
    session_forwarder m_forwarder;
    server_links m_servers;
    store_follower m_store;
    promotion_caller m_promotions;
    http_responder m_readiness;
    http_responder m_metrics_endpoint;
    runtime::signal_watch m_signals;
    QTimer m_tick;
    bool m_was_ready{false};
    bool m_running_actions{false};
    bool m_sessions_ended{false}; ///< of the proxy, during a shutdown
    std::optional<time_point> m_stop_limit;
    time_point m_listed_at{}; ///< when the servers were read last
    std::map<session_id, held_start> m_held_starts;
    std::map<session_id, held_start> m_early_starts; ///< of clients, before the daemons are known
    /// Groups that this daemon is a home of, and its share of each.
    std::map<std::string, proxy::group_share, std::less<>> m_served;
};

} // namespace gypsumstep::edge
