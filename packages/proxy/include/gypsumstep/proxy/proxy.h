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
#include "gypsumstep/dispatch/connection_choice.h"
#include "gypsumstep/dispatch/connection_share.h"
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
#include <span>
#include <string>
#include <string_view>
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
    /// Connections that each server accepts, and the number of homes in each region. With client
    /// accounts, the share of a server depends on its role and region; 0 for equal shares.
    std::uint32_t max_connections{0};
    std::map<std::string, std::uint32_t> homes_by_region{};

    friend bool operator==(const group_share&, const group_share&) = default;
};

/// Counts of events of server connections since the start of the process.
struct connection_counts {
    std::uint64_t opened{0};
    std::uint64_t reused{0};           ///< uses of a connection that had been used before
    std::uint64_t closed_for_other{0}; ///< idle ones, closed for another client account
    std::uint64_t closed_for_limit{0}; ///< idle ones, closed since other daemons need room
    /// Statements that waited for a connection of their account to be opened or freed.
    std::uint64_t waits_for_connection{0};
    std::uint64_t waits_for_limit{0}; ///< statements that waited since all connections were taken
    std::uint64_t waits_for_slot{0};  ///< statements that waited for a slot of a server

    friend bool operator==(const connection_counts&, const connection_counts&) = default;
};

/// Values of the proxy's gauges.
struct proxy_gauges {
    std::size_t sessions{0};
    std::size_t server_connections{0};
    std::size_t waiting_statements{0};
    std::size_t running_statements{0};
    std::size_t avoided_servers{0};
    connection_counts connections;
    std::size_t waiting_accounts{0}; ///< accounts with waiting statements, summed over the groups
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
    /// Answers a statement that on_client_statement() does not get, as busy.
    void refuse_operation(session_id id, const std::string& text, time_point now);
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

    /// Sets the era of the store that this daemon has learned of, the first one or a later one.
    void on_store_era(std::uint64_t era, time_point now);

    /// Drops what promotions have read and claimed in an earlier era of the store.
    /// \return the number of promotions that had begun
    std::size_t on_store_rolled_back(time_point now);

    /// Returns the highest fencing token of a group that other daemons told; 0 if none did.
    [[nodiscard]] std::uint64_t newest_token(const std::string& service) const;

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

    /// Whether a list of the servers was read.
    [[nodiscard]] bool has_server_list() const { return m_directory.loaded(); }

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

    /// Returns true if a statement of the session runs or waits for a server.
    [[nodiscard]] bool is_running_statement(session_id id) const;

    /// Returns the account of the operation that a statement starts if it is the session's next
    /// one; nothing if it starts none, or if on_client_statement() refuses it.
    [[nodiscard]] std::optional<std::string> account_of_operation(session_id id,
                                                                  statement::verb kind) const;

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
    void refuse_admission(database_group& group, const task_ptr& work,
                          const dispatch::admission_input& input, const dispatch::refusal& refusal,
                          time_point now);
    [[nodiscard]] duration retry_after(database_group& group, const task& work, duration earliest,
                                       time_point now);
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
    bool try_start(database_group& group, const task_ptr& work, dispatch::demand_table& demands,
                   time_point now);
    bool try_start_on_primary(database_group& group, const task_ptr& work,
                              dispatch::demand_table& demands, time_point now);
    bool try_start_read(database_group& group, const task_ptr& work,
                        dispatch::demand_table& demands, time_point now);
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
    [[nodiscard]] duration useful_wait(const database_group& group, const task& work) const;
    [[nodiscard]] duration connection_free_in(const database_group& group, const task& work,
                                              time_point now) const;
    [[nodiscard]] bool may_run(const database_group& group, const backend_server& server,
                               const task& work, time_point now) const;
    [[nodiscard]] bool runs_only_on_primary(const database_group& group, const task& work,
                                            time_point now) const;
    [[nodiscard]] bool expects_lag_refusal(const database_group& group,
                                           const backend_server& server, const task& work,
                                           time_point now) const;
    void update_queue(database_group& group, time_point now);
    [[nodiscard]] bool may_open_transaction(const database_group& group,
                                            const backend_server& server) const;
    [[nodiscard]] static std::uint32_t transaction_reserve(const backend_server& server);
    [[nodiscard]] static std::uint32_t connections_for(const backend_server& server,
                                                       const task& work);
    void count_held_connections(backend_server& server, time_point now);
    void log_floor_starts(database_group& group, std::uint64_t before, time_point now);
    server_connection* find_idle_connection(backend_server& server, const task* work);
    [[nodiscard]] bool has_idle_connection(const backend_server& server,
                                           const std::string& account) const;
    void open_connection_if_allowed(backend_server& server, const std::string& account,
                                    time_point now);
    [[nodiscard]] bool may_open_connection(const backend_server& server, const std::string& account,
                                           time_point now) const;
    void request_watermark(database_group& group, time_point acknowledged_before,
                           const std::string& account, time_point now);
    void enqueue(database_group& group, const task_ptr& work);
    void requeue(const task_ptr& work, duration backoff, time_point now);
    [[nodiscard]] bool is_usable(const backend_server& server, time_point now) const;

    // Servers that fail, lose or do not answer requests: outcomes.cpp.
    void record_outcome(backend_server& server, dispatch::request_outcome outcome, time_point now);
    void record_answer(const server_connection& connection, const statement::answer& content,
                       time_point now);
    void record_sign_of_life(backend_server& server);
    void report_avoidance(backend_server& server);
    [[nodiscard]] bool is_avoided_for(const database_group& group, const backend_server& server,
                                      const task& work, time_point now) const;
    [[nodiscard]] bool has_unanswered(const backend_server& server) const;
    void check_silence(server_connection& connection, time_point now);
    bool take_read_retry(database_group& group, task& work, time_point now);
    [[nodiscard]] static bool may_restart(const task& work, const client_session& owner);
    void move_read(server_connection& connection, time_point now);
    void restart_read(const task_ptr& work, server_id failed, time_point now);
    void probe_silent_primary(database_group& group, time_point now);
    // Connections of client accounts: account_connections.cpp.

    /// Why a statement waits.
    enum class wait_cause : std::uint8_t { no_connection, connection_limit, slots };

    /// An idle connection that may be closed, and its expected uses per second.
    struct closable {
        server_connection_id connection;
        double reuse_rate{0.0};
    };

    /// Whether a connection should and can be opened for a statement.
    struct opening_check {
        dispatch::opening_input input;
        std::optional<closable> to_close; ///< if the limit is reached
        bool is_worthwhile{false};
        bool has_room{false};
        bool may_open_now{false};
    };

    [[nodiscard]] bool uses_accounts() const;
    [[nodiscard]] std::vector<dispatch::pooled_connection> pool_of(const backend_server& server,
                                                                   time_point now) const;
    [[nodiscard]] std::optional<closable> find_closable(const backend_server& server,
                                                        std::optional<std::string_view> needed_by,
                                                        time_point now) const;
    void close_for_account(const backend_server& server, const closable& chosen,
                           const std::string& account, time_point now);
    [[nodiscard]] dispatch::account_demand& demand_at(dispatch::demand_table& demands,
                                                      const backend_server& server,
                                                      const std::string& account) const;
    [[nodiscard]] opening_check check_opening(const backend_server& server, const task& work,
                                              const dispatch::account_demand& demand,
                                              time_point now) const;
    /// Opens a connection for a statement if that is worthwhile and allowed. Returns false if a
    /// connection is needed and can't be opened now.
    bool await_connection(backend_server& server, const task_ptr& work,
                          dispatch::demand_table& demands, time_point now);
    /// Servers that may run a read.
    struct read_candidates {
        std::vector<dispatch::candidate> all;
        std::vector<dispatch::candidate> own; ///< in this daemon's region, with connections
    };

    [[nodiscard]] read_candidates candidates_for_read(const database_group& group, const task& work,
                                                      dispatch::demand_table& demands,
                                                      time_point now) const;
    /// Leaves the remote servers out that would be chosen, but are not worth the way.
    void erase_unjustified_remote(database_group& group, const task& work, read_candidates& found,
                                  time_point now);
    bool try_start_read_of_account(database_group& group, const task_ptr& work,
                                   std::vector<dispatch::candidate> candidates,
                                   dispatch::demand_table& demands, time_point now);
    /// Returns true if a server may run another statement. Checked before anything else, so that a
    /// long queue costs little while all slots are taken.
    [[nodiscard]] bool has_free_slot(const database_group& group, const task& work) const;
    void count_wait(task& work, wait_cause cause);
    void open_connection(backend_server& server, const std::string& account, time_point now);
    /// Opens a connection for the proxy's own commands, which run on one of any account.
    void open_probe_connection(backend_server& server, const std::string& account, time_point now);
    [[nodiscard]] std::string usual_account(const backend_server& server, time_point now) const;
    void on_connection_taken(server_connection& connection, const task& work, time_point now);
    void on_connection_returned(server_connection& connection, time_point now);
    static void on_connection_opened(backend_server& server, const server_connection& connection,
                                     time_point now);
    void on_too_many_connections(backend_server& server, time_point now);
    [[nodiscard]] std::uint32_t connection_share_of(const backend_server& server) const;
    /// Returns the regions in which a server of the group may run reads.
    [[nodiscard]] std::set<std::string> served_regions(const database_group& group) const;
    void update_connections(backend_server& server, time_point now);
    [[nodiscard]] bool is_idle_too_long(const server_connection& connection, time_point now);
    [[nodiscard]] duration connection_wait(const database_group& group, const task& work,
                                           time_point now) const;
    [[nodiscard]] duration connection_wait_at(const backend_server& server, const task& work,
                                              time_point now) const;

    // Reads that leave the region: leaving.cpp.
    [[nodiscard]] bool is_established(const backend_server& server) const;
    [[nodiscard]] static dispatch::far_server far_server_of(const backend_server& server,
                                                            bool needs_connection, time_point now);
    bool may_leave_region(database_group& group, const backend_server& server, const task& work,
                          std::span<const dispatch::candidate> own, bool needs_connection,
                          time_point now);
    void report_leaving(database_group& group, const std::string& server, duration at_home);

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
    void add_server(const directory::server_record& record, time_point now);
    void remove_server(server_id id, time_point now);
    void erase_server(server_id id);
    [[nodiscard]] dispatch::proximity proximity_of(const std::string& domain) const;

    // Promotions: promotions.cpp.
    void update_promotion(database_group& group, time_point now);
    void report_leaderless(database_group& group, const promotion::group_state& state,
                           time_point now);
    void run_promotion_actions(database_group& group, time_point now);
    void log_claim(const database_group& group, const promotion::claim& claim);
    void start_survey(database_group& group, const promotion::survey_replicas& request,
                      time_point now);
    void continue_survey(database_group& group, time_point now);
    bool request_status(database_group& group, backend_server& server, time_point now);
    [[nodiscard]] bool awaits_reference(const database_group& group, time_point now) const;
    void finish_survey(database_group& group, time_point now);
    void resume_replicas(database_group& group, time_point now);
    /// Has all servers of a group receive the log again, whichever daemon paused them.
    void start_resuming(database_group& group, const promotion::resume_replicas& request,
                        time_point now);
    void on_resumed(database_group& group, const backend_server& server);
    /// Whether a command to pause the server was sent and has no answer yet.
    [[nodiscard]] bool has_unanswered_pause(const backend_server& server) const;
    /// Resumes replicas after their time if the store tells of no other daemon's claim.
    void allow_resuming(database_group& group, const promotion::shared_state& state,
                        time_point now);

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
    connection_counts m_connection_counts;
    std::uint64_t m_finished_statements{0};
    double m_hedge_credit{0.0};
    std::optional<promotion::claim_exchange> m_exchange; ///< empty if the old primary stops
    std::optional<time_point> m_claims_requested_at;     ///< while the store is asked
    time_point m_next_claim_request{};
    std::optional<time_point> m_last_tick;
    time_point m_resumed_at{}; ///< end of the last time during which this process was delayed
    tick_need m_tick_need{tick_need::soon};
    std::optional<shutdown_schedule> m_shutdown;
    bool m_shutdown_reported{false};
    /// Sessions that a shutdown may close with their last answer, and when it was given. They are
    /// closed once the event that answered them has been handled.
    std::vector<std::pair<session_id, time_point>> m_answered_sessions;
    std::vector<action> m_actions;
};

} // namespace gypsumstep::proxy
