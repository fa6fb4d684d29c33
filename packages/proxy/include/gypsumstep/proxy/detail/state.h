/// \file
/// Sessions, statements in progress, links and groups of the proxy.
#pragma once

#include "gypsumstep/directory/route_table.h"
#include "gypsumstep/directory/server_directory.h"
#include "gypsumstep/dispatch/server_choice.h"
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

/// One thread runs the proxy, so counts need no atomics.
template <class T>
using counted = boost::intrusive_ref_counter<T, boost::thread_unsafe_counter>;

/// What a task does.
enum class task_kind : std::uint8_t {
    statement, ///< runs a client's statement
    proof,     ///< finds out what the primary has committed, for waiting reads
};

/// A statement on its way through the proxy.
struct task : dispatch::queued_statement, counted<task> {
    task_kind kind{task_kind::statement};
    session_id session;
    statement::statement request;
    directory::route route;
    std::optional<statement::prepared_statement> shape; ///< of an execute
    bool is_read{false};
    bool is_commit{false};
    bool opens_transaction{false}; ///< first statement of a transaction
    bool read_only_transaction{false};
    freshness::read_bound bound;
    std::optional<freshness::required_position> at_least; ///< what its server must have
    std::set<server_id> avoid;                            ///< servers that could not run it
    time_point not_before{};                              ///< pause before the next attempt
    bool queued{false};
    bool sent{false}; ///< the statement itself, not only what precedes it
    bool hedged{false};
    time_point sent_at{};
    std::uint32_t attempts{0};
    server_connection_id link; ///< that it runs on
    server_id server;          ///< that it was sent to last
};

using task_ptr = boost::intrusive_ptr<task>;

/// A client's transaction.
struct transaction {
    bool read_only{false};
    bool failed{false};
    bool wrote{false};
    directory::route route;
    std::optional<server_connection_id> link; ///< from its first statement on
    time_point last_used{};
};

/// A client's session.
struct session {
    session_id id;
    std::string database; ///< empty until the session was started
    statement::session_state state;
    std::optional<transaction> open;
    std::optional<log_position> last_commit;
    time_point last_commit_at{};
    std::string last_commit_service;
    task_ptr running;
    std::deque<statement::statement> pipelined;
    time_point idle_since{};
    time_point close_at{}; ///< during a shutdown
};

/// State of a link.
enum class link_phase : std::uint8_t {
    opening,   ///< connecting, then starting a session
    idle,      ///< free for any statement
    held,      ///< holds a transaction whose client rests
    pausing,   ///< its work is sent again after a pause
    replaying, ///< brings session values and prepared statements over
    running,   ///< runs its work
    cleaning,  ///< rolls back
    surveying, ///< reports the log position
};

/// A connection to a backend server.
struct link {
    server_connection_id id;
    server_id server;
    link_phase phase{link_phase::opening};
    bool counted{false}; ///< in its server's number of running statements
    statement::connection_state replayed;
    bool in_transaction{false};
    std::optional<session_id> pinned; ///< whose transaction it holds
    task_ptr work;                    ///< empty if nobody waits for the answer any more
    statement::server_command command;
    time_point command_sent{};
    time_point limit{};      ///< when the pending command is given up
    time_point idle_since{}; ///< when it became free
};

/// What the proxy knows of a server beyond its registration.
struct server {
    server_id id;
    std::string service;
    dispatch::proximity distance{dispatch::proximity::remote};
    std::set<server_connection_id> links;
    std::uint32_t running{0}; ///< statements sent and not answered
    std::uint32_t opening{0};
    std::uint32_t max_links{0};
    time_point max_links_raised{};
    duration usual_time{0};
    dispatch::replica_lag_estimate lag;
    log_position applied; ///< newest position that it reported
    promotion::server_health health;
    time_point connect_after{};
    duration connect_pause{0};
    time_point refused_lead_until{}; ///< it answered that it is not the primary
    time_point avoid_until{};        ///< it had no capacity or failed
};

/// A survey of a group's replicas in progress.
struct survey {
    std::vector<promotion::survey_answer> answers;
    std::set<server_id> pending;
    bool pause{false};
    std::optional<server_id> demoted;
    std::optional<log_position> wanted; ///< what the demoted primary had committed
    time_point limit{};
    time_point ask_again{};
};

/// A database group.
struct group {
    std::string service;
    dispatch::wait_queue queue;
    freshness::watermark_history watermarks{duration{0}};
    dispatch::wait_estimate estimate;
    std::optional<server_id> leader;
    std::uint64_t leader_listing{0}; ///< newest listing when the leader was chosen
    term leader_term;
    std::uint32_t proofs_running{0};
    time_point newest_proof{}; ///< when the newest proof in progress was asked for
    promotion::coordinator promotion;
    std::optional<survey> open_survey;
    std::set<server_id> paused; ///< replicas that a survey stopped from receiving
    time_point resume_at{};
    time_point refreshed{};

    group(std::string name, const std::string& daemon, std::uint64_t seed)
        : service{std::move(name)}, promotion{daemon, seed}
    {
    }
};

} // namespace gypsumstep::proxy::detail
