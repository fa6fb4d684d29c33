/// \file
/// What a group watcher asks its daemon to do.
#pragma once

#include "gypsumstep/failover/events.h"

namespace gypsumstep::failover {

/// Ask \c server, through its home, to grant a term. Answer: \c grant_answer, or none.
struct request_grant {
    server_id server;
    term requested_term;
    claim_id claim;
    friend auto operator<=>(const request_grant&, const request_grant&) = default;
};

/// Order \c server, through its home, to become primary. Answer: \c promote_answer, or none.
struct promote {
    server_id server;
    term requested_term;
    claim_id claim;
    log_position min_position;
    friend auto operator<=>(const promote&, const promote&) = default;
};

/// Tell the homed \c server which primary to follow; a primary of a lower term steps down.
struct follow_primary {
    server_id server;
    primary_view primary;
    friend auto operator<=>(const follow_primary&, const follow_primary&) = default;
};

/// Read the group's row. Answer: \c claim_read.
struct read_claim {
    friend auto operator<=>(const read_claim&, const read_claim&) = default;
};

/// Store \c row if the stored version is \c row.version - 1. Answer: \c claim_written.
struct write_claim {
    claim_row row;
    friend auto operator<=>(const write_claim&, const write_claim&) = default;
};

/// Send to the group's other watchers.
struct send_suspicion {
    suspicion vote;
    friend auto operator<=>(const send_suspicion&, const send_suspicion&) = default;
};

/// Tell one daemon, or all of them with the group's watchers first, about the primary.
struct announce {
    primary_view primary;
    std::optional<daemon_id> to; ///< nothing: all daemons
    friend auto operator<=>(const announce&, const announce&) = default;
};

/// What became of an operator's order.
enum class order_outcome {
    done,       ///< the wanted server is the primary
    refused,    ///< nothing was fenced
    superseded, ///< another server became primary
    failed,     ///< no primary took office in time; the automation goes on
};

/// Tell the operator.
struct order_finished {
    std::uint64_t order{0};
    order_outcome outcome{order_outcome::failed};
    std::string reason; ///< for people
    primary_view primary;
    friend auto operator<=>(const order_finished&, const order_finished&) = default;
};

/// One thing to do.
using action = std::variant<request_grant, promote, follow_primary, read_claim, write_claim,
                            send_suspicion, announce, order_finished>;

/// Things to do in this order.
using actions = std::vector<action>;

} // namespace gypsumstep::failover
