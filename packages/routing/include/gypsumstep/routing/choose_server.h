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

/// A moment before every other: the age of the data is unknown.
inline constexpr time_point never{duration{-(1LL << 60U)}};

/// What a daemon knows of one backend server.
struct server_view {
    server_id id;
    log_position applied;         ///< newest entry that its reads can see
    time_point current_at{never}; ///< its data was at least as new as the primary's at this moment
    duration expected_wait{0};    ///< round trip plus the queue in front of it
    bool reachable{false};
    bool leaving{false};

    friend bool operator==(const server_view&, const server_view&) = default;
};

/// What a daemon knows of a group.
struct group_view {
    group_id id;
    term current_term;
    std::optional<server_id> primary;
    std::vector<server_view> servers;

    friend bool operator==(const group_view&, const group_view&) = default;
};

/// One statement as routing sees it.
struct route_request {
    session::statement_class declared;
    std::optional<log_position> session_position; ///< the session's position in this group
    std::vector<server_id> tried;                 ///< servers that already turned out unfit

    friend bool operator==(const route_request&, const route_request&) = default;
};

/// Run it on this server.
struct chosen_server {
    server_id id;
    bool is_primary{false};

    friend bool operator==(const chosen_server&, const chosen_server&) = default;
};

/// Nothing can run it now. It has not been sent anywhere.
enum class route_refusal {
    no_primary,      ///< the primary is unknown or cannot be reached
    no_fresh_server, ///< no server within reach satisfies token and age
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
