/// \file
/// State of the proxy: client sessions, statements in progress, server connections, groups.
#pragma once

#include "gypsumstep/directory/route_table.h"
#include "gypsumstep/directory/server_directory.h"
#include "gypsumstep/dispatch/connection_choice.h"
#include "gypsumstep/dispatch/locality.h"
#include "gypsumstep/dispatch/server_choice.h"
#include "gypsumstep/dispatch/server_outcomes.h"
#include "gypsumstep/dispatch/wait_estimate.h"
#include "gypsumstep/dispatch/wait_queue.h"
#include "gypsumstep/freshness/watermark_history.h"
#include "gypsumstep/promotion/coordinator.h"
#include "gypsumstep/promotion/server_health.h"
#include "gypsumstep/proxy/actions.h"
#include "gypsumstep/statement/session_state.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace gypsumstep::proxy::detail {

/// Base of reference-counted types. The proxy runs on a single thread, so the count isn't atomic.
template <class T>
using counted = boost::intrusive_ref_counter<T, boost::thread_unsafe_counter>;

/// Kind of a task.
enum class task_kind : std::uint8_t {
    statement,         ///< runs a client's statement
    watermark_request, ///< asks the primary for its newest committed position, for waiting reads
};

/// A statement in progress, from its arrival to its answer.
struct task : dispatch::queued_statement, counted<task> {
    task_kind kind{task_kind::statement};
    session_id session;
    statement::statement request;
    directory::route route;
    std::optional<statement::prepared_statement>
        prepared; ///< the statement that an EXECUTE refers to
    bool is_read{false};
    bool is_commit{false};
    bool opens_transaction{false}; ///< first statement of a transaction
    bool read_only_transaction{false};
    freshness::read_bound bound;
    std::optional<freshness::required_position>
        required_position;               ///< position its server must have reached
    std::set<server_id> avoided_servers; ///< servers that failed to run it or were slow
    time_point not_before{};             ///< earliest time of the next attempt
    bool queued{false};
    bool sent{false}; ///< set once the statement itself was sent, not only commands that precede it
    bool hedged{false};
    bool sent_away{false};         ///< sent to another region because of the load in its own
    std::uint32_t read_retries{0}; ///< retries after a server failed, lost or did not answer it
    time_point sent_at{};
    std::uint32_t attempts{0};
    server_connection_id connection;         ///< the connection that it is assigned to
    server_id server;                        ///< the server that it was last assigned to
    std::optional<server_id> awaited_server; ///< where it waits for a connection of its account
    std::uint8_t counted_waits{0};           ///< causes of waiting counted so far, as bits
};

using task_ptr = boost::intrusive_ptr<task>;

/// A client's transaction.
struct client_transaction {
    bool read_only{false};
    bool failed{false};
    bool wrote{false};
    directory::route route;
    std::string account; ///< client account for which it runs; empty for none
    std::optional<server_connection_id> connection; ///< set from the first statement on
    time_point last_used{};
};

/// A session's newest acknowledged commit on one service.
struct session_commit {
    std::optional<log_position> position; ///< empty if the server's answer did not tell it
    time_point acknowledged_at{};

    friend bool operator==(const session_commit&, const session_commit&) = default;
};

/// A client's session.
struct client_session {
    session_id id;
    std::string database;                    ///< empty until the session was started
    std::optional<accounts::key_digest> key; ///< empty if the client sent none
    statement::session_state state;
    std::optional<client_transaction> open_transaction;
    /// By service: a route may leave a service and come back to it during the session.
    std::map<std::string, session_commit, std::less<>> last_commits;
    task_ptr running;
    std::deque<statement::statement> pipelined;
    time_point idle_since{};
    time_point close_at{}; ///< during a shutdown: closed from then on, once it may be
};

/// What a server connection is doing.
enum class connection_phase : std::uint8_t {
    opening,             ///< connects, then starts a session
    idle,                ///< available for any statement
    idle_in_transaction, ///< holds an open transaction and waits for its client
    backing_off,         ///< waits before its statement is sent again
    replaying,           ///< sets session values and prepares statements for a client's session
    running,             ///< runs its task
    rolling_back,        ///< rolls a transaction back
    surveying,           ///< waits for an answer about the server's role and log position
};

/// A connection to a backend server.
struct server_connection {
    server_connection_id id;
    server_id server;
    std::string account; ///< client account named at its start; empty for none
    connection_phase phase{connection_phase::opening};
    bool counted_as_running{false}; ///< counted in backend_server::running
    statement::connection_state replayed;
    bool in_transaction{false};
    std::optional<session_id> transaction_owner; ///< session whose transaction it holds
    task_ptr work;                               ///< empty if its answer is not awaited any more
    statement::server_command command;
    time_point command_sent_at{};
    time_point deadline{};              ///< when the pending command times out
    time_point idle_since{};            ///< when it last became idle
    bool was_used{false};               ///< a client's statement ran on it
    std::optional<time_point> taken_at; ///< when a client's statement or transaction took it
};

/// The proxy's state of a backend server, in addition to its registration.
struct backend_server {
    server_id id;
    directory::server_entry entry; ///< the last registration; kept after it is gone
    std::string service;
    dispatch::proximity distance{dispatch::proximity::remote};
    std::set<server_connection_id> connections;
    std::uint32_t running{0}; ///< statements assigned to it and not answered yet
    std::uint32_t opening_connections{0};
    std::uint32_t connection_limit{0};
    time_point connection_limit_raised_at{};
    dispatch::response_time_estimate response_time;
    dispatch::server_outcomes outcomes;
    bool reported_avoided{false}; ///< the log says that it is avoided
    time_point added_at{};
    time_point too_many_at{};      ///< when it last refused a connection for having too many
    dispatch::account_usage usage; ///< of this daemon's connections to it
    dispatch::handshake_pace pace;
    duration opening_time{50ms}; ///< usual time to open a connection; initially one to a far server
    dispatch::replica_lag_estimate lag;
    log_position newest_position; ///< newest log position that it reported
    promotion::server_health health;
    time_point connect_after{};
    duration connect_backoff{0};
    time_point not_primary_until{}; ///< not taken for the primary: it denied being it
    time_point avoid_until{};       ///< gets no statements: it had no capacity or failed
    /// Connections, open or allowed, that are not held by transactions whose clients rest.
    std::uint32_t unheld_connections{UINT32_MAX};
    time_point held_until{}; ///< when the first transaction whose client rests may be ended
};

/// A survey in progress of the log positions of a group's servers, before a promotion.
struct replica_survey {
    std::vector<promotion::survey_answer> answers;
    std::set<server_id> pending;
    std::set<server_id> repeated; ///< asked again, since the first command's term was too low
    bool pause_replicas{false};
    time_point exclusive_until{};       ///< no other daemon pauses replicas before
    std::optional<server_id> reference; ///< asked first, and demoted if \ref demotes_reference
    bool demotes_reference{false};
    std::optional<log_position> required_position; ///< newest log position of the reference
    time_point deadline{};
    time_point next_request_at{};
};

/// The effort to stop the former primary after another daemon's or this daemon's claim.
struct lead_release {
    std::uint64_t token{0};
    std::optional<server_id> former; ///< asked to take no more writes; empty if none is in use
    time_point deadline{};           ///< the former primary counts as unreachable then
    time_point next_request{};
};

/// A database group: one primary and its replicas.
struct database_group {
    std::string service;
    std::vector<backend_server*> servers; ///< in ascending order of their ids
    dispatch::wait_queue queue;
    freshness::watermark_history watermarks{duration{0}};
    dispatch::wait_estimate estimate;
    dispatch::retry_budget read_retries;
    dispatch::retry_schedule returns; ///< of clients whose statements were refused
    time_point floor_logged_at{};     ///< when a start by a floor was logged last
    dispatch::locality_policy locality;
    bool reported_leaving{false}; ///< the log says that reads leave the region
    std::size_t reads_ahead{0};   ///< reads that could not start in the present pass of the queue
    std::optional<server_id> primary;
    std::uint64_t primary_listing{0}; ///< newest listing when the primary was chosen
    term primary_term;
    bool saw_primary{false};
    std::optional<server_id> last_primary; ///< the newest primary, even after it was lost
    std::optional<time_point> leaderless_since;
    time_point next_leaderless_report{}; ///< when the log tells again why nobody leads
    std::uint64_t leaderless_listing{0}; ///< newest listing when the group became leaderless
    std::optional<lead_release> release;
    std::optional<std::pair<server_id, log_position>> demoted; ///< former primary and its log's end
    std::uint32_t watermark_requests{0};
    time_point newest_watermark_request{}; ///< when the newest watermark request was sent
    promotion::coordinator promotion;
    std::optional<replica_survey> survey;
    /// Replicas that a survey stopped from receiving the log, and when each may be told again to
    /// receive it.
    std::map<server_id, time_point> paused_replicas;
    time_point resume_at{};    ///< when the paused replicas are to receive the log again
    time_point resume_until{}; ///< another daemon may have paused them after this time
    std::optional<time_point> resume_check_at; ///< when the claim was asked for, to resume them
    time_point refreshed{};

    database_group(std::string name, const std::string& daemon, std::uint64_t seed)
        : service{std::move(name)}, promotion{service, daemon, seed}
    {
    }
};

} // namespace gypsumstep::proxy::detail
