/// \file
/// Value types of the failover of a database group.
#pragma once

#include "gypsumstep/base/ids.h"
#include "gypsumstep/base/position.h"
#include "gypsumstep/base/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace gypsumstep::failover {

/// Identifies one attempt of one daemon to replace a primary. Never reused, because a restarted
/// daemon gets a new id.
struct claim_id {
    daemon_id claimant;
    std::uint64_t round{0};

    friend constexpr auto operator<=>(const claim_id&, const claim_id&) = default;
};

/// The primary of a group, as known to one daemon or server. Term 0 means that none is known.
struct primary_view {
    term primary_term;
    server_id server;

    /// Whether \p other is the primary in this view.
    [[nodiscard]] bool is_primary(server_id other) const
    {
        return primary_term > term{} && server == other;
    }

    friend constexpr auto operator<=>(const primary_view&, const primary_view&) = default;
};

/// The role that a backend server reports for itself.
enum class server_role { replica, primary };

/// State that a backend server reports about itself, read atomically.
struct health_report {
    server_id server;
    server_role role{server_role::replica};
    primary_view primary; ///< the server itself or the primary it follows; term 0 if none
    term granted;         ///< highest term in its grant register
    term highest_seen;    ///< highest term received from any server, at least \c granted
    log_position last;    ///< last entry of its log

    /// On a replica, the time since it sent the last message that was answered by a primary whose
    /// term is at least \c granted, or since it began to follow that primary. On a primary, the
    /// time since a majority, itself included, last answered it in its term. Measured by the
    /// server's own clock.
    duration primary_contact_age{0};

    friend auto operator<=>(const health_report&, const health_report&) = default;
};

/// Progress of a claim in the platform's table.
enum class claim_phase {
    claimed,  ///< its claimant is requesting grants or promoting a server
    recorded, ///< the row's primary has become primary
};

/// A group's row in the platform's table. Version 0 means that the row does not exist.
struct claim_row {
    std::uint64_t version{0}; ///< incremented by each write; writes are compare-and-set on it
    term claimed;             ///< highest term that was claimed
    claim_id claim;           ///< identifies the write if its answer was lost
    claim_phase phase{claim_phase::recorded};
    primary_view primary; ///< last recorded primary

    friend auto operator<=>(const claim_row&, const claim_row&) = default;
};

/// What a claimant does when the platform does not answer in time.
enum class platform_policy {
    proceed_by_grants, ///< request grants anyway; record when the platform is back
    wait,              ///< fence no server until the claim is in the platform's table
};

/// Timeouts and intervals of failure detection and failover, in microseconds.
struct settings {
    platform_policy platform_down_policy{platform_policy::proceed_by_grants};
    duration contact_timeout{1'200'000}; ///< silence of this length counts as failure
    duration report_timeout{600'000}; ///< a replica that has not reported for this long has no vote
    duration vote_interval{200'000};  ///< between repeated votes against a suspected primary
    duration vote_lifetime{700'000};  ///< time after its arrival for which a vote counts
    duration start_jitter{100'000};   ///< maximum random delay before a claimant starts
    duration platform_timeout{300'000};        ///< until an unanswered platform counts as down
    duration platform_retry_interval{300'000}; ///< between repeated reads or writes of the row
    duration retry_interval{100'000};          ///< between repeated grant or promotion requests
    duration grant_timeout{600'000};           ///< for collecting a majority of grants
    duration promotion_timeout{700'000};       ///< for the promoted server's answer
    duration hand_over_timeout{150'000};       ///< for the old primary's grant
    duration catch_up_interval{20'000}; ///< between promotion orders while the target lacks entries
    duration claim_timeout{1'000'000};  ///< time for which another daemon's open claim is respected
    duration retry_backoff{500'000};    ///< minimum backoff after losing to another claimant
    duration record_timeout{2'000'000}; ///< until another daemon records in a claimant's place
    duration order_timeout{5'000'000};  ///< until an operator's order counts as failed
    duration finish_timeout{3'000'000}; ///< a claimant that fenced servers retries for this long
    duration pause_threshold{400'000};  ///< a longer gap between steps means that the VM was paused

    friend bool operator==(const settings&, const settings&) = default;
};

/// Formats a claim id as "DAEMON#ROUND".
[[nodiscard]] std::string to_string(const claim_id& claim);

/// Formats a primary as "SERVER@TERM".
[[nodiscard]] std::string to_string(const primary_view& view);

} // namespace gypsumstep::failover
