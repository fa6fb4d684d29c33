/// \file
/// The proxy between clients and database groups: sessions, pools, routing, outcomes.
///
/// The proxy has no sockets, threads or clocks: the embedding process passes events and the
/// current time in as calls, and takes out actions to carry out. The embedding process also
/// implements the clients' and servers' protocols and the access to the store.
#pragma once

#include "gypsumstep/base/random.h"
#include "gypsumstep/directory/authorization.h"
#include "gypsumstep/directory/route_table.h"
#include "gypsumstep/directory/server_directory.h"
#include "gypsumstep/promotion/claim_exchange.h"
#include "gypsumstep/proxy/actions.h"
#include "gypsumstep/proxy/detail/state.h"
#include "gypsumstep/proxy/options.h"
#include "gypsumstep/proxy/shutdown_schedule.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gypsumstep::proxy {

/// How soon the servers' registrations should be read again.
enum class listing_urgency : std::uint8_t {
    none,   ///< this daemon neither is home of a group nor has connections to one
    normal, ///< all servers are registered and all primaries known
    soon,   ///< the registration of a server of a group lapsed
    urgent, ///< a group has no primary, a promotion runs, or nothing was read yet
};

/// This daemon's share of each server of a group, which it shares with the group's other homes.
struct group_share {
    std::uint32_t connections{0}; ///< maximum number of connections to each server
    std::uint32_t homes{0};       ///< number of daemons that share the servers; 0 if unknown

    friend bool operator==(const group_share&, const group_share&) = default;
};

/// Values of the proxy's gauges.
struct proxy_gauges {
    std::size_t sessions{0};
    std::size_t server_connections{0};
    std::size_t waiting_statements{0};
    std::size_t running_statements{0};
};

/// Routes the statements of clients to backend servers and holds all state that this needs. All
/// times must come from a clock that also advances while the VM is suspended. Not thread-safe.
class proxy {
public:
    explicit proxy(options chosen);
    ~proxy();
    proxy(const proxy&) = delete;
    proxy& operator=(const proxy&) = delete;

    // Events from clients.
    void on_client_connected(session_id id, time_point now);
    /// \param key digest of the client's key; empty if it sent none
    void on_client_start(session_id id, const std::string& database,
                         const std::optional<accounts::key_digest>& key, time_point now);
    void on_client_statement(session_id id, statement::statement request, time_point now);
    void on_client_closed(session_id id, time_point now);

    // Events from backend servers.
    void on_server_answer(server_connection_id id, statement::answer content, time_point now);
    void on_server_status(server_connection_id id, const statement::server_status& status,
                          time_point now);
    void on_server_connection_closed(server_connection_id id, const std::string& cause,
                                     time_point now);

    // Events from the store.
    void on_configuration(directory::configuration next, time_point now);
    void on_servers(const std::vector<directory::server_entry>& listing, time_point now);

    /// Sets the groups that this daemon is a home of, and its share of each. The proxy keeps
    /// connections to their servers even when no session needs them. Before the first call it
    /// is a home of all groups.
    void set_served_groups(std::map<std::string, group_share, std::less<>> services,
                           time_point now);

    // Events from other daemons.

    /// Replaces the list of all daemons, this one included, in an order on which all agree, and
    /// the homes of each group.
    void set_daemons(std::vector<std::string> daemons,
                     const std::map<std::string, std::vector<std::string>, std::less<>>& homes);

    /// Passes the newest claims on all groups, or nothing if the store could not be read.
    void on_claims_read(const std::optional<std::vector<promotion::claim_notice>>& claims,
                        time_point now);
    void on_peer_message(const promotion::peer_message& message, time_point now);

    // Results of promotion steps.
    void on_shared_state(const std::string& service,
                         const std::optional<promotion::shared_state>& state, time_point now);
    void on_suspicion_written(const std::string& service, promotion::call_outcome outcome,
                              time_point now);
    void on_claim_written(const std::string& service, promotion::call_outcome outcome,
                          time_point now);
    void on_promotion_ordered(const std::string& service, promotion::call_outcome outcome,
                              time_point now);

    /// Runs timeouts, retries and promotions. Must be called within tick_interval() of the last
    /// call.
    void on_tick(time_point now);

    /// Returns the longest time until the next call of on_tick(). An event may shorten it.
    [[nodiscard]] duration tick_interval() const;

    /// Starts the shutdown: ready() becomes false, open transactions may end within half of the
    /// grace period, and sessions are closed gradually: idle ones, and busy ones with an answer.
    /// What has no answer at the end of the grace period is answered with an error.
    void begin_shutdown(time_point now);

    /// Returns true if the proxy can serve new clients.
    [[nodiscard]] bool ready() const;

    /// Returns how soon the list of servers should be read again.
    [[nodiscard]] listing_urgency server_listing_urgency() const;

    /// Returns the pending actions, to be carried out in order, and clears them.
    [[nodiscard]] std::vector<action> take_actions();

    /// Returns true if clients are connected. New ones may connect even after shutdown_complete.
    [[nodiscard]] bool has_sessions() const { return !m_sessions.empty(); }

    [[nodiscard]] proxy_gauges gauges() const;

    /// Returns the size of the values and prepared statements of a session, in bytes; 0 if there is
    /// no such session.
    [[nodiscard]] std::size_t session_state_bytes(session_id id) const;
    [[nodiscard]] const directory::route_table& routes() const { return m_routes; }

    /// Checks a client's key against the configuration in force.
    [[nodiscard]] directory::authorization
    authorize(const directory::route& used, const std::optional<accounts::key_digest>& key) const;

private:
    using task = detail::task;
    using task_ptr = detail::task_ptr;
    using client_session = detail::client_session;
    using server_connection = detail::server_connection;
    using backend_server = detail::backend_server;
    using database_group = detail::database_group;
    using error_class = statement::error_class;

    /// How soon on_tick() has work, in ascending order.
    enum class tick_need : std::uint8_t { idle, running, soon };

    // Client sessions: client_side.cpp.
    void handle_statement(client_session& session, const statement::statement& request,
                          time_point now);
    void run_next_pipelined(client_session& session, time_point now);
    void begin_transaction(client_session& session, const statement::statement& request,
                           bool read_only);
    void end_transaction(client_session& session, const statement::statement& request,
                         time_point now);
    void set_session_state(client_session& session, const statement::statement& request);
    void run_statement(client_session& session, const statement::statement& request,
                       time_point now);
    task_ptr make_task(client_session& session, const statement::statement& request,
                       const directory::route& route, time_point now);
    void run_in_transaction(client_session& session, const task_ptr& work, time_point now);
    void admit(const task_ptr& work, time_point now);
    void answer(client_session& session, statement::answer content);
    void answer_done(client_session& session);
    void answer_error(client_session& session, error_class kind, const std::string& text);
    [[nodiscard]] statement::transaction_state
    transaction_state_of(const client_session& session) const;
    void abandon_task(const task_ptr& work);
    [[nodiscard]] std::optional<std::string>
    account_for(client_session& session, const directory::route& used, const std::string& request);
    [[nodiscard]] static bool may_have_committed(const task& work, const client_session& owner);

    // Choosing servers: dispatching.cpp.
    void dispatch(database_group& group, time_point now);
    bool try_start(database_group& group, const task_ptr& work, time_point now);
    bool try_start_on_primary(database_group& group, const task_ptr& work, time_point now);
    bool try_start_read(database_group& group, const task_ptr& work, time_point now);
    [[nodiscard]] dispatch::candidate make_candidate(const database_group& group,
                                                     const backend_server& server, const task& work,
                                                     time_point now) const;
    [[nodiscard]] std::uint32_t statement_limit(const backend_server& server) const;
    [[nodiscard]] std::uint32_t statement_limit_for(const task& work,
                                                    const backend_server& server) const;
    [[nodiscard]] std::uint32_t available_capacity(const database_group& group, const task& work,
                                                   time_point now) const;
    [[nodiscard]] duration expected_wait(const database_group& group, const task& work,
                                         std::size_t ahead, time_point now) const;
    server_connection* find_idle_connection(backend_server& server, const task* work);
    [[nodiscard]] bool has_idle_connection(const backend_server& server,
                                           const std::string& account) const;
    void open_connection_if_allowed(backend_server& server, const std::string& account,
                                    time_point now);
    bool close_idle_connection_of_other(backend_server& server, const std::string& account,
                                        time_point now);
    [[nodiscard]] bool may_open_connection(const backend_server& server, const std::string& account,
                                           time_point now) const;
    void request_watermark(database_group& group, time_point acknowledged_before, time_point now);
    void enqueue(database_group& group, const task_ptr& work);
    void requeue(const task_ptr& work, duration backoff, time_point now);
    [[nodiscard]] bool is_usable(const backend_server& server, time_point now) const;

    // Server connections: server_side.cpp.
    void assign(server_connection& connection, const task_ptr& work, time_point now);
    void send_next_command(server_connection& connection, time_point now);
    void send(server_connection& connection, statement::server_command command, duration timeout,
              time_point now);
    void on_connection_started(server_connection& connection, const statement::answer& content,
                               time_point now);
    void on_state_replayed(server_connection& connection, const statement::answer& content,
                           time_point now);
    void on_transaction_begun(server_connection& connection, const statement::answer& content,
                              time_point now);
    void on_rolled_back(server_connection& connection, const statement::answer& content,
                        time_point now);
    void release(server_connection& connection, time_point now);
    void roll_back(server_connection& connection, time_point now);
    void close_connection(server_connection_id id, const std::string& cause, time_point now);
    void on_connection_lost(server_connection& connection, const std::string& cause,
                            time_point now);
    void add_watermark(database_group& group, const server_connection& connection,
                       const statement::answer& content, time_point sent_at, time_point now);
    void on_primary_denied(database_group& group, backend_server& server, time_point now);
    void on_position_refused(database_group& group, backend_server& server, const task_ptr& work,
                             time_point now);

    // Completion of statements: statement_end.cpp.
    void on_statement_answer(server_connection& connection, statement::answer content,
                             time_point now);
    void on_success(server_connection& connection, const task_ptr& work, statement::answer content,
                    time_point now);
    void on_commit_in_doubt(server_connection& connection, const task_ptr& work, time_point now);
    bool retry_not_run(server_connection& connection, const task_ptr& work,
                       const statement::answer& content, time_point now);
    bool retry_in_transaction(server_connection& connection, const task_ptr& work,
                              const statement::answer& content, time_point now);
    void fail_in_transaction(server_connection& connection, const task_ptr& work,
                             statement::answer content, time_point now);
    void finish(const task_ptr& work, statement::answer content, bool on_replica, time_point now);
    void refuse(const task_ptr& work, error_class kind, const std::string& text, time_point now);
    void finish_watermark_request(database_group& group);

    // Groups: groups.cpp.
    database_group& group_of(const std::string& service);
    database_group* find_group(const std::string& service);
    void choose_primary(database_group& group, time_point now);
    void set_primary(database_group& group, std::optional<server_id> chosen);
    void add_server(const directory::server_record& record);
    void remove_server(server_id id, time_point now);
    void erase_server(server_id id);
    [[nodiscard]] dispatch::proximity proximity_of(const std::string& domain) const;

    // Promotions: promotions.cpp.
    void update_promotion(database_group& group, time_point now);
    void run_promotion_actions(database_group& group, time_point now);
    void start_survey(database_group& group, const promotion::survey_replicas& request,
                      time_point now);
    void continue_survey(database_group& group, time_point now);
    bool request_status(database_group& group, backend_server& server, time_point now);
    [[nodiscard]] bool awaits_reference(const database_group& group, time_point now) const;
    void finish_survey(database_group& group, time_point now);
    void resume_replicas(database_group& group, time_point now);

    // Change of the primary where the platform does not stop the old one: lead.cpp.
    [[nodiscard]] bool may_lead(const backend_server& server) const;
    [[nodiscard]] bool is_lead_usable(const database_group& group, time_point now) const;
    void apply_claims(time_point now);
    void stop_using_former_primary(database_group& group, const promotion::claim_notice& claim,
                                   time_point now);
    void abort_work_on(backend_server& server, time_point now);
    void continue_release(database_group& group, time_point now);
    void finish_release(database_group& group, const std::string& demoted,
                        const std::optional<log_position>& position);
    bool request_demotion(database_group& group, backend_server& server, time_point now);
    void on_demotion_answered(database_group& group, const backend_server& server,
                              const statement::server_status& status, time_point now);
    [[nodiscard]] bool is_former_primary(const backend_server& server) const;
    [[nodiscard]] bool is_being_released(const backend_server& server) const;
    [[nodiscard]] bool is_kept(const database_group& group, server_id server,
                               const statement::answer& content) const;
    void follow_groups();
    void request_claims(time_point now);
    void run_exchange(time_point now);
    void finish_hand_overs(time_point now);
    void send_peer_messages(time_point now);

    // Periodic work: timers.cpp.
    void check_connections(time_point now);
    void check_queue(database_group& group, time_point now);
    void hedge_slow_read(server_connection& connection, time_point now);
    void check_group(database_group& group, time_point now);
    void check_idle_transaction(server_connection& connection, time_point now);
    void erase_gone_servers(database_group& group);
    [[nodiscard]] bool is_failing(const database_group& group, time_point now) const;
    void request_tick(tick_need need);
    void keep_primary_connected(database_group& group, time_point now);

    // Shutdown: shutdown.cpp.
    void continue_shutdown(time_point now);
    [[nodiscard]] bool may_close(const client_session& session, time_point now) const;
    void refuse_in_shutdown(client_session& session, const statement::statement& request,
                            time_point now);
    void on_session_answered(session_id id, time_point now);
    void close_answered_sessions();
    void answer_running_statement(client_session& session, time_point now);

    // Reporting: reporting.cpp.
    void log_decision(importance level, const char* message, const std::string& request,
                      std::vector<std::pair<const char*, std::string>> inputs);
    [[nodiscard]] std::string name_of(server_id id) const;

    [[nodiscard]] bool is_home_of(const std::string& service) const;
    [[nodiscard]] static bool has_connections(const database_group& group);
    [[nodiscard]] group_share share_of(const std::string& service) const;

    client_session* find_session(session_id id);
    server_connection* find_connection(server_connection_id id);
    backend_server* find_server(server_id id);
    template <class T>
    void emit(T next)
    {
        m_actions.emplace_back(std::in_place_type<T>, std::move(next));
    }

    options m_options;
    random_source m_random;
    directory::route_table m_routes;
    directory::server_directory m_directory;
    std::optional<std::map<std::string, group_share, std::less<>>> m_served_groups;
    std::map<session_id, std::unique_ptr<client_session>> m_sessions;
    std::map<server_connection_id, std::unique_ptr<server_connection>> m_connections;
    std::map<server_id, std::unique_ptr<backend_server>> m_servers;
    std::map<std::string, std::unique_ptr<database_group>, std::less<>> m_groups;
    std::uint64_t m_next_connection{1};
    std::uint64_t m_finished_statements{0};
    double m_hedge_credit{0.0};
    std::optional<promotion::claim_exchange> m_exchange; ///< empty if the old primary stops
    std::optional<time_point> m_claims_requested_at;     ///< while the store is asked
    time_point m_next_claim_request{};
    std::optional<time_point> m_last_tick;
    tick_need m_tick_need{tick_need::soon};
    std::optional<shutdown_schedule> m_shutdown;
    bool m_shutdown_reported{false};
    /// Sessions that a shutdown may close with their last answer, and when it was given. They are
    /// closed once the event that answered them has been handled.
    std::vector<std::pair<session_id, time_point>> m_answered_sessions;
    std::vector<action> m_actions;
};

} // namespace gypsumstep::proxy
