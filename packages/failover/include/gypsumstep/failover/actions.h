/// \file
/// Actions that a group watcher asks its daemon to carry out.
#pragma once

#include "gypsumstep/failover/events.h"

namespace gypsumstep::failover {

/// Asks \c server, through its home, to grant a term to a claim. The answer is a
/// \c grant_answer; it may be missing.
struct request_grant {
    server_id server;
    term requested_term;
    claim_id claim;
    friend auto operator<=>(const request_grant&, const request_grant&) = default;
};

/// Orders \c server, through its home, to become primary. The answer is a
/// \c promote_answer; it may be missing.
struct promote {
    server_id server;
    term requested_term;
    claim_id claim;
    log_position min_position;
    friend auto operator<=>(const promote&, const promote&) = default;
};

/// Tells the homed \c server which primary to follow. If \c server is itself the primary of a
/// lower term, it steps down.
struct follow_primary {
    server_id server;
    primary_view primary;
    friend auto operator<=>(const follow_primary&, const follow_primary&) = default;
};

/// Reads the group's row in the platform's table. The answer is a \c claim_read.
struct read_claim {
    friend auto operator<=>(const read_claim&, const read_claim&) = default;
};

/// Stores \c row if the stored version is \c row.version - 1. The answer is a \c claim_written.
struct write_claim {
    claim_row row;
    friend auto operator<=>(const write_claim&, const write_claim&) = default;
};

/// Sends a vote to the group's other watchers.
struct send_suspicion {
    suspicion vote;
    friend auto operator<=>(const send_suspicion&, const send_suspicion&) = default;
};

/// Announces the primary to one daemon, or to all daemons, those with a watcher of the group
/// first.
struct announce {
    primary_view primary;
    std::optional<daemon_id> to; ///< all daemons if empty
    friend auto operator<=>(const announce&, const announce&) = default;
};

/// How an operator's order to change the primary ended.
enum class order_outcome {
    done,       ///< the requested server is the primary
    refused,    ///< rejected before any server was fenced
    superseded, ///< another server became primary
    failed,     ///< no server became primary in time; automatic failover goes on
};

/// Reports the result of an order to the operator.
struct order_finished {
    std::uint64_t order{0};
    order_outcome outcome{order_outcome::failed};
    std::string reason; ///< human-readable
    primary_view primary;
    friend auto operator<=>(const order_finished&, const order_finished&) = default;
};

/// One action of a group watcher.
using action = std::variant<request_grant, promote, follow_primary, read_claim, write_claim,
                            send_suspicion, announce, order_finished>;

/// Actions, to be carried out in this order.
using actions = std::vector<action>;

} // namespace gypsumstep::failover
