/// \file
/// What a group watcher is told.
#pragma once

#include "gypsumstep/failover/grant_register.h"

#include <variant>
#include <vector>

namespace gypsumstep::failover {

/// Time has passed. Due at least every 50 ms.
struct tick {
    friend auto operator<=>(const tick&, const tick&) = default;
};

/// The servers that this daemon is a home of, all of them.
struct homed_servers {
    std::vector<server_id> servers;
    friend auto operator<=>(const homed_servers&, const homed_servers&) = default;
};

/// A server's answer to a grant request.
struct grant_answer {
    claim_id claim; ///< of the request
    server_id server;
    term requested_term;
    bool granted{false};
    term highest;      ///< the server's highest granted term after the request
    log_position last; ///< its last entry, read together with the grant
    friend auto operator<=>(const grant_answer&, const grant_answer&) = default;
};

/// A server's answer to a promotion.
struct promote_answer {
    claim_id claim; ///< of the order
    server_id server;
    term requested_term;
    promotion_answer answer{promotion_answer::refused};
    term highest; ///< the server's highest granted term
    friend auto operator<=>(const promote_answer&, const promote_answer&) = default;
};

/// How the platform answered.
enum class platform_status {
    done,        ///< read or stored
    conflict,    ///< the row has another version
    unavailable, ///< no answer; a write may have taken effect
};

/// Answer to \c read_claim.
struct claim_read {
    platform_status status{platform_status::unavailable};
    claim_row row; ///< valid when done
    friend auto operator<=>(const claim_read&, const claim_read&) = default;
};

/// Answer to \c write_claim.
struct claim_written {
    claim_id claim; ///< of the row that was to be written
    platform_status status{platform_status::unavailable};
    claim_row row; ///< the row in force; valid when done or in conflict
    friend auto operator<=>(const claim_written&, const claim_written&) = default;
};

/// One home's vote, on behalf of one server, whether the primary has failed.
struct suspicion {
    daemon_id from;
    server_id server;     ///< the homed server whose view this is
    primary_view primary; ///< the primary that the vote is about
    bool suspected{false};
    friend auto operator<=>(const suspicion&, const suspicion&) = default;
};

/// A primary is in office. Sent by watchers to all daemons.
struct announcement {
    primary_view primary;
    friend auto operator<=>(const announcement&, const announcement&) = default;
};

/// An operator orders another primary.
struct operator_order {
    std::uint64_t order{0};          ///< named again in \c order_finished
    std::optional<server_id> target; ///< nothing: any other server
    friend auto operator<=>(const operator_order&, const operator_order&) = default;
};

/// Lets the watcher act unasked, or not.
struct set_automation {
    bool enabled{true};
    friend auto operator<=>(const set_automation&, const set_automation&) = default;
};

/// Everything that a watcher is told.
using event =
    std::variant<tick, homed_servers, health_report, grant_answer, promote_answer, claim_read,
                 claim_written, suspicion, announcement, operator_order, set_automation>;

} // namespace gypsumstep::failover
