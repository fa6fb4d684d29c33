/// \file
/// Chooses the backend server that runs a statement.
#pragma once

#include "gypsumstep/base/ids.h"
#include "gypsumstep/base/position.h"
#include "gypsumstep/base/time.h"
#include "gypsumstep/session/statement_class.h"

#include <optional>
#include <variant>
#include <vector>

namespace gypsumstep::routing {

/// A time before all others; means that the age of the data is unknown.
inline constexpr time_point never{duration{-(1LL << 60U)}};

/// State of one backend server as a daemon knows it.
struct server_view {
    server_id id;
    log_position applied; ///< newest log entry visible to reads on it
    /// Latest time at which its data is known to be at least as new as the primary's was.
    time_point current_at{never};
    duration expected_wait{0}; ///< round trip plus waiting time in its queue
    bool reachable{false};
    bool leaving{false}; ///< as a replica, it takes no more reads

    friend bool operator==(const server_view&, const server_view&) = default;
};

/// State of a group as a daemon knows it.
struct group_view {
    group_id id;
    term current_term;
    std::optional<server_id> primary;
    std::vector<server_view> servers;

    friend bool operator==(const group_view&, const group_view&) = default;
};

/// The properties of one statement that routing depends on.
struct route_request {
    session::statement_class declared;
    std::optional<log_position> session_position; ///< newest one the session saw in this group
    std::vector<server_id> tried; ///< servers that could not run the statement; not chosen again

    friend bool operator==(const route_request&, const route_request&) = default;
};

/// The server that is to run the statement.
struct chosen_server {
    server_id id;
    bool is_primary{false};

    friend bool operator==(const chosen_server&, const chosen_server&) = default;
};

/// Why no server can run the statement now. The statement has not been sent to any server.
enum class route_refusal {
    no_primary,      ///< the primary is unknown or cannot be reached
    no_fresh_server, ///< no reachable server satisfies the session token and the age
};

using route = std::variant<chosen_server, route_refusal>;

/// Chooses a server: writes go to the primary; reads go to the replica with the
/// shortest expected wait whose known position satisfies the session's token and
/// whose data is within the declared age, else to the primary.
///
/// A read without a declared age may run on any replica that satisfies the token.
/// A session without a position reads from the primary unless it declares an age.
[[nodiscard]] route choose_server(const group_view& group, const route_request& request,
                                  time_point now);

} // namespace gypsumstep::routing
