/// \file
/// The process of the daemon on the users' platform.
#pragma once

#include "allowance_gate.h"
#include "client_listener.h"
#include "connection_guard.h"
#include "daemon_roster.h"
#include "edge_metrics.h"
#include "http_server.h"
#include "line_logger.h"
#include "peer_link.h"
#include "promotion_executor.h"
#include "server_connections.h"
#include "session_forwarder.h"
#include "store_clock.h"
#include "store_era.h"
#include "store_view.h"

#include "gypsumstep/adapter/node_settings.h"
#include "gypsumstep/metrics/registry.h"
#include "gypsumstep/proxy/proxy.h"
#include "gypsumstep/runtime/signal_watch.h"

#include <QObject>
#include <QTimer>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace gypsumstep::edge {

/// Connects the proxy to sockets, the store, signals and the clock, in one event loop.
class edge_process : public QObject {
public:
    /// \param settings_file read again on SIGHUP
    /// \param log_output flushed on every tick
    edge_process(adapter::node_settings settings, std::string settings_file,
                 line_logger& log_output);

    /// Listens and starts to follow the store; false if an address cannot be used.
    [[nodiscard]] bool start();

private:
    /// The start of a session that waits for a newer configuration, list of servers or list of
    /// daemons.
    struct pending_start {
        adapter::start_message message;
        time_point deadline{};
    };

    /// Statements of a session of this daemon's own that the proxy does not have yet.
    struct held_statements {
        std::deque<statement::statement> queue;
        bool awaits_token{false}; ///< for the first one
    };

    void run_actions();
    void run(proxy::send_answer& action);
    void run(proxy::send_start_answer& action);
    void run(proxy::close_session& action);
    void run(proxy::open_server_connection& action);
    void run(proxy::send_command& action);
    void run(proxy::close_server_connection& action);
    void run(proxy::promotion_step& action);
    void run(proxy::read_claims& action);
    void run(proxy::send_peer_message& action);
    void run(proxy::refresh_servers& action);
    void run(proxy::decision& action);
    void run(proxy::statement_finished& action);
    void run(proxy::shutdown_complete& action);
    client_events client_listener_events();
    /// Logs at intervals what a daemon waits for that stays out of service.
    void report_unready(time_point now);
    /// What the configuration in force says about the next operation of a forwarded session.
    [[nodiscard]] operation_terms terms_of(const adapter::start_message& start) const;
    client_events forwarding_listener_events();
    client_listener& listener_of(session_id id);
    operation_limits limits_of_forwarded_sessions();
    /// Passes a statement of this daemon's own client to the proxy, once a token permits it.
    void on_own_statement(session_id id, statement::statement request);
    /// Passes held statements on as far as the session's state and its account's limit permit.
    void release_held(session_id id);
    void on_token_decided(session_id id, const std::optional<std::string>& refusal);
    /// Drops the held statements of a session that ends; true if there were any.
    bool drop_held(session_id id);
    void update_accounts();
    /// Reads the list of daemons if this daemon was announced, is not listed, and might be a
    /// keeper.
    void read_own_announcement();
    void on_client_started(session_id id, const adapter::start_message& message);
    void start_session(session_id id, const adapter::start_message& message);
    /// True if this daemon is the home for the account's sessions of that group.
    [[nodiscard]] bool serves_session(const std::string& service, std::uint32_t max_connections,
                                      const homes::account_traffic& account) const;
    [[nodiscard]] homes::account_traffic traffic_of(const std::string& account) const;
    /// Starts the clients' sessions that waited for the list of daemons.
    void run_client_starts();
    void on_client_closed(session_id id);
    /// Another daemon forwards a session to this one.
    void on_forwarded_start(session_id id, const adapter::start_message& message);
    /// True if the configuration in force is at least as new as \p message requires.
    [[nodiscard]] bool has_configuration(const adapter::start_message& message) const;
    /// True if the list of servers is read regularly or was read recently.
    [[nodiscard]] bool has_usable_server_list(time_point now) const;
    void retry_forwarded_starts();
    [[nodiscard]] proxy::group_share share_of(const std::string& service,
                                              std::uint32_t max_connections) const;
    void update_served_groups();
    void on_daemons_changed();
    /// Tells the proxy which daemons exchange claims.
    void update_exchange();
    void on_tick();
    /// Brings the next tick forward if it is needed sooner than it was scheduled.
    void schedule_tick();
    void on_signal(int number);
    void reload();
    adapter::http_response readiness_response(const std::string& path);
    adapter::http_response metrics_response();

    adapter::node_settings m_settings;
    std::string m_settings_file;
    line_logger& m_log_output;
    metrics::registry m_registry;
    edge_metrics m_metrics;
    proxy::proxy m_proxy;
    store_clock m_clock;
    store_era m_era;
    peer_link m_peer_link;
    allowance_gate m_allowance_gate;
    daemon_roster m_roster;
    connection_guard m_guard;
    client_listener m_client_listener;
    client_listener m_forwarding_listener; ///< accepts sessions that other daemons forward
    session_forwarder m_forwarder;
    server_connections m_server_connections;
    store_view m_store_view;
    promotion_executor m_promotion_executor;
    http_server m_readiness_endpoint;
    http_server m_metrics_endpoint;
    runtime::signal_watch m_signal_watch;
    QTimer m_tick_timer;
    duration m_scheduled_interval{duration::max()}; ///< until the tick that the timer waits for
    bool m_last_ready{false};
    std::optional<time_point> m_unready_since;
    time_point m_next_unready_report{};
    bool m_running_actions{false};
    bool m_sessions_ended{false}; ///< during a shutdown: the proxy has closed all its sessions
    std::optional<time_point> m_stop_deadline;
    time_point m_servers_read_at{}; ///< when the list of servers was last read
    /// Forwarded sessions that wait for a newer configuration or list of servers.
    std::map<session_id, pending_start> m_pending_forwarded_starts;
    /// Clients' sessions that wait for the list of daemons.
    std::map<session_id, pending_start> m_pending_client_starts;
    std::map<session_id, held_statements> m_held;
    /// Groups that this daemon is a home of, and its share of each group's servers.
    std::map<std::string, proxy::group_share, std::less<>> m_served_groups;
};

} // namespace gypsumstep::edge
