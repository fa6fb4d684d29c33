/// \file
/// The proxy between clients and database groups: sessions, pools, routing, outcomes.
///
/// It has no sockets, threads or clocks: events come in as calls with the time, and what
/// has to be done comes out as actions. Codecs of clients' and servers' protocols and the
/// store are on the other side.
#pragma once

#include "gypsumstep/base/random.h"
#include "gypsumstep/directory/route_table.h"
#include "gypsumstep/directory/server_directory.h"
#include "gypsumstep/proxy/actions.h"
#include "gypsumstep/proxy/detail/state.h"
#include "gypsumstep/proxy/options.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gypsumstep::proxy {

/// How soon the servers' registrations should be read again.
enum class listing_urgency : std::uint8_t {
    none,   ///< this daemon serves no group
    normal, ///< nothing is wrong
    soon,   ///< a server's registration lapsed
    urgent, ///< a group has no primary
};

/// What this daemon may use of each server of a group, beside the group's other homes.
struct group_share {
    std::uint32_t connections{0}; ///< most connections to one server
    std::uint32_t homes{0};       ///< daemons that share the servers; 0 if that is not known

    friend bool operator==(const group_share&, const group_share&) = default;
};

/// Numbers for gauges.
struct proxy_gauges {
    std::size_t sessions{0};
    std::size_t server_connections{0};
    std::size_t waiting_statements{0};
    std::size_t running_statements{0};
};

/// The whole state of one daemon. All times come from a clock that also counts while the
/// VM is suspended.
class proxy {
public:
    explicit proxy(options chosen);
    ~proxy();
    proxy(const proxy&) = delete;
    proxy& operator=(const proxy&) = delete;

    // Clients.
    void on_client_connected(session_id id, time_point now);
    void on_client_start(session_id id, const std::string& database, time_point now);
    void on_client_statement(session_id id, statement::statement request, time_point now);
    void on_client_closed(session_id id, time_point now);

    // Servers.
    void on_server_answer(server_connection_id id, statement::answer content, time_point now);
    void on_server_status(server_connection_id id, const statement::server_status& status,
                          time_point now);
    void on_server_connection_closed(server_connection_id id, const std::string& cause,
                                     time_point now);

    // What the store tells.
    void on_configuration(directory::configuration next, time_point now);
    void on_servers(const std::vector<directory::server_entry>& listing, time_point now);

    /// The groups whose servers this daemon connects to without being asked by a session,
    /// and its share of each; all groups before the first call.
    void set_served_groups(std::map<std::string, group_share, std::less<>> services,
                           time_point now);

    // Steps of promotions.
    void on_shared_state(const std::string& service,
                         const std::optional<promotion::shared_state>& state, time_point now);
    void on_suspicion_written(const std::string& service, promotion::call_outcome outcome,
                              time_point now);
    void on_claim_written(const std::string& service, promotion::call_outcome outcome,
                          time_point now);
    void on_promotion_ordered(const std::string& service, promotion::call_outcome outcome,
                              time_point now);

    /// Passes time: limits, retries, promotions. Called every few tens of milliseconds.
    void on_tick(time_point now);

    /// Stops taking sessions, lets transactions end, closes idle sessions bit by bit.
    void begin_shutdown(time_point now);

    /// True if new clients can be served.
    [[nodiscard]] bool ready() const;

    /// How soon the list of servers should be read again.
    [[nodiscard]] listing_urgency server_listing_urgency() const;

    /// What has to be done, in order.
    [[nodiscard]] std::vector<action> take_actions();

    [[nodiscard]] proxy_gauges gauges() const;
    [[nodiscard]] const directory::route_table& routes() const { return m_routes; }

private:
    using task = detail::task;
    using task_ptr = detail::task_ptr;
    using session = detail::session;
    using link = detail::link;
    using server = detail::server;
    using group = detail::group;
    using error_class = statement::error_class;

    // Clients: client_side.cpp.
    void handle(session& from, const statement::statement& request, time_point now);
    void run_next_pipelined(session& from, time_point now);
    void begin_transaction(session& from, const statement::statement& request, bool read_only);
    void end_transaction(session& from, const statement::statement& request, time_point now);
    void set_session_state(session& from, const statement::statement& request);
    void run(session& from, const statement::statement& request, time_point now);
    task_ptr make_task(session& from, const statement::statement& request,
                       const directory::route& route, time_point now);
    void run_in_transaction(session& from, const task_ptr& work, time_point now);
    void admit(const task_ptr& work, time_point now);
    void answer(session& to, statement::answer content);
    void answer_done(session& to);
    void answer_error(session& to, error_class kind, const std::string& text);
    [[nodiscard]] statement::transaction_state state_of(const session& of) const;
    void forget_task(const task_ptr& work);

    // Choosing servers: dispatching.cpp.
    void dispatch(group& of, time_point now);
    bool try_start(group& of, const task_ptr& work, time_point now);
    bool try_start_on_primary(group& of, const task_ptr& work, time_point now);
    bool try_start_read(group& of, const task_ptr& work, time_point now);
    [[nodiscard]] dispatch::candidate make_candidate(const group& of, const server& chosen,
                                                     const task& work, time_point now) const;
    [[nodiscard]] std::uint32_t statement_limit(const server& of) const;
    [[nodiscard]] std::uint32_t limit_of(const task& work, const server& at) const;
    [[nodiscard]] std::uint32_t places(const group& of, const task& work, time_point now) const;
    [[nodiscard]] duration expected_wait(const group& of, const task& work, std::size_t ahead,
                                         time_point now) const;
    link* idle_link(server& of, const session* wanted);
    [[nodiscard]] bool has_idle_link(const server& of) const;
    void open_link_if_useful(server& to, time_point now);
    [[nodiscard]] bool may_open(const server& to, time_point now) const;
    void ask_for_proof(group& of, time_point moment, time_point now);
    void enqueue(group& of, const task_ptr& work);
    void requeue(const task_ptr& work, duration pause, time_point now);
    [[nodiscard]] bool usable(const server& of, time_point now) const;

    // Links: server_side.cpp.
    void assign(link& to, const task_ptr& work, time_point now);
    void advance(link& of, time_point now);
    void send(link& to, statement::server_command command, duration limit, time_point now);
    void on_started(link& opened, const statement::answer& content, time_point now);
    void on_replayed(link& of, const statement::answer& content, time_point now);
    void on_begun(link& of, const statement::answer& content, time_point now);
    void on_cleaned(link& of, const statement::answer& content, time_point now);
    void release(link& of, time_point now);
    void roll_back(link& of, time_point now);
    void drop_link(server_connection_id id, const std::string& cause, time_point now);
    void lose_work(link& of, const std::string& cause, time_point now);
    void add_watermark(group& of, const link& from, const statement::answer& content,
                       time_point sent_at, time_point now);
    void refused_lead(group& of, server& by, time_point now);
    void refused_position(group& of, server& by, const task_ptr& work, time_point now);

    // Ends of statements: statement_end.cpp.
    void on_statement_answer(link& of, statement::answer content, time_point now);
    void on_success(link& of, const task_ptr& work, statement::answer content, time_point now);
    bool retry_unrun(link& of, const task_ptr& work, const statement::answer& content,
                     time_point now);
    bool retry_in_transaction(link& of, const task_ptr& work, const statement::answer& content,
                              time_point now);
    void fail_in_transaction(link& of, const task_ptr& work, statement::answer content,
                             time_point now);
    void finish(const task_ptr& work, statement::answer content, bool on_replica, time_point now);
    void refuse(const task_ptr& work, error_class kind, const std::string& text, time_point now);
    void finish_proof(group& of);

    // Groups: groups.cpp.
    group& group_of(const std::string& service);
    group* find_group(const std::string& service);
    void choose_leader(group& of, time_point now);
    void add_server(const directory::server_record& record);
    void remove_server(server_id id, time_point now);
    [[nodiscard]] dispatch::proximity proximity_of(const std::string& domain) const;

    // Promotions: promotions.cpp.
    void update_promotion(group& of, time_point now);
    void run_promotion_actions(group& of, time_point now);
    void start_survey(group& of, const promotion::survey_replicas& wanted, time_point now);
    void continue_survey(group& of, time_point now);
    bool ask_status(group& of, server& who, time_point now);
    void finish_survey(group& of, time_point now);
    void resume_replicas(group& of, time_point now);

    // Time: timers.cpp.
    void check_links(time_point now);
    void check_queue(group& of, time_point now);
    void check_running_reads(link& of, time_point now);
    void check_sessions(time_point now);
    void keep_leader_link(group& of, time_point now);
    void continue_shutdown(time_point now);

    // Reporting: reporting.cpp.
    void note(importance level, const char* what, const std::string& request,
              std::vector<std::pair<const char*, std::string>> inputs);
    [[nodiscard]] std::string name_of(server_id id) const;

    [[nodiscard]] bool serves(const std::string& service) const;
    [[nodiscard]] bool has_links(const std::string& service) const;
    [[nodiscard]] group_share share_of(const std::string& service) const;

    session* find_session(session_id id);
    link* find_link(server_connection_id id);
    server* find_server(server_id id);
    template <class T>
    void emit(T next)
    {
        m_actions.emplace_back(std::in_place_type<T>, std::move(next));
    }

    options m_options;
    random_source m_random;
    directory::route_table m_routes;
    directory::server_directory m_directory;
    std::optional<std::map<std::string, group_share, std::less<>>> m_served;
    std::map<session_id, std::unique_ptr<session>> m_sessions;
    std::map<server_connection_id, std::unique_ptr<link>> m_links;
    std::map<server_id, std::unique_ptr<server>> m_servers;
    std::map<std::string, std::unique_ptr<group>, std::less<>> m_groups;
    std::uint64_t m_next_link{1};
    std::uint64_t m_finished{0};
    double m_hedge_credit{0.0};
    std::optional<time_point> m_last_tick;
    std::optional<time_point> m_shutdown_at;
    bool m_shutdown_reported{false};
    std::vector<action> m_actions;
};

} // namespace gypsumstep::proxy
