/// \file
/// Events that a group watcher handles.
#pragma once

#include "gypsumstep/failover/grant_register.h"

#include <variant>
#include <vector>

namespace gypsumstep::failover {

/// Time has passed. Must be delivered at least every 50 ms.
struct tick {
    friend auto operator<=>(const tick&, const tick&) = default;
};

/// The complete list of the group's servers that this daemon is a home of.
struct homed_servers {
    std::vector<server_id> servers;
    friend auto operator<=>(const homed_servers&, const homed_servers&) = default;
};

/// A server's answer to a grant request.
struct grant_answer {
    claim_id claim; ///< the claim that the request named
    server_id server;
    term requested_term;
    bool granted{false};
    term highest;      ///< the server's highest granted term after the request
    log_position last; ///< last entry of its log, read atomically with the grant
    friend auto operator<=>(const grant_answer&, const grant_answer&) = default;
};

/// A server's answer to the order to become primary.
struct promote_answer {
    claim_id claim; ///< the claim that the order named
    server_id server;
    term requested_term;
    promotion_answer answer{promotion_answer::refused};
    term highest; ///< the server's highest granted term
    friend auto operator<=>(const promote_answer&, const promote_answer&) = default;
};

/// Result of a read or write of the group's row.
enum class platform_status {
    done,        ///< the row was read or stored
    conflict,    ///< the row has another version
    unavailable, ///< no answer; a write may have taken effect
};

/// The platform's answer to \c read_claim.
struct claim_read {
    platform_status status{platform_status::unavailable};
    claim_row row; ///< valid if status is done
    friend auto operator<=>(const claim_read&, const claim_read&) = default;
};

/// The platform's answer to \c write_claim.
struct claim_written {
    claim_id claim; ///< the claim in the row that was to be written
    platform_status status{platform_status::unavailable};
    claim_row row; ///< the row now stored; valid if status is done or conflict
    friend auto operator<=>(const claim_written&, const claim_written&) = default;
};

/// A home's vote, on behalf of one of its servers, on whether the primary has failed.
struct suspicion {
    daemon_id from;
    server_id server;     ///< the homed server on whose behalf the home votes
    primary_view primary; ///< the primary that the vote is about
    bool suspected{false};
    friend auto operator<=>(const suspicion&, const suspicion&) = default;
};

/// A server has become primary. Watchers send this to all daemons.
struct announcement {
    primary_view primary;
    friend auto operator<=>(const announcement&, const announcement&) = default;
};

/// An operator's order to make another server the primary.
struct operator_order {
    std::uint64_t order{0};          ///< id that \c order_finished repeats
    std::optional<server_id> target; ///< any server but the current primary if empty
    friend auto operator<=>(const operator_order&, const operator_order&) = default;
};

/// Enables or disables failover without an operator's order.
struct set_automation {
    bool enabled{true};
    friend auto operator<=>(const set_automation&, const set_automation&) = default;
};

/// Any event of a group watcher.
using event =
    std::variant<tick, homed_servers, health_report, grant_answer, promote_answer, claim_read,
                 claim_written, suspicion, announcement, operator_order, set_automation>;

} // namespace gypsumstep::failover
