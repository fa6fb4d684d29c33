/// \file
/// Values that the failover of a database group is decided on.
#pragma once

#include "gypsumstep/base/ids.h"
#include "gypsumstep/base/position.h"
#include "gypsumstep/base/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace gypsumstep::failover {

/// One attempt of one daemon to replace a primary. Never reused: a restarted
/// daemon has a new id.
struct claim_id {
    daemon_id claimant;
    std::uint64_t round{0};

    friend constexpr auto operator<=>(const claim_id&, const claim_id&) = default;
};

/// The primary of a group as far as it is known. Term 0 means none.
struct primary_view {
    term primary_term;
    server_id server;

    /// Whether \p other is this view's primary.
    [[nodiscard]] bool is_primary(server_id other) const
    {
        return primary_term > term{} && server == other;
    }

    friend constexpr auto operator<=>(const primary_view&, const primary_view&) = default;
};

/// What a backend server believes to be.
enum class server_role { replica, primary };

/// What a backend server says about itself, read at one moment.
struct health_report {
    server_id server;
    server_role role{server_role::replica};
    primary_view primary; ///< that it is or follows; term 0 if none
    term granted;         ///< highest term in its grant register
    term highest_seen;    ///< highest term that any server named to it, at least \c granted
    log_position last;    ///< last entry of its log

    /// Replica: since it sent the last message that a primary whose term is at
    /// least \c granted answered, or since it began to follow it. Primary: since a majority, itself
    /// included, last answered it in its term. Measured by the server's own clock.
    duration primary_contact_age{0};

    friend auto operator<=>(const health_report&, const health_report&) = default;
};

/// How far a claim in the platform's table has come.
enum class claim_phase {
    claimed,  ///< its claimant asks for grants or promotes
    recorded, ///< the row's primary is in office
};

/// A group's row in the platform's table. Version 0 means that it does not exist.
struct claim_row {
    std::uint64_t version{0}; ///< grows by one with each write; compared and set
    term claimed;             ///< highest term that was claimed
    claim_id claim;           ///< identifies the write when its answer was lost
    claim_phase phase{claim_phase::recorded};
    primary_view primary; ///< last primary recorded

    friend auto operator<=>(const claim_row&, const claim_row&) = default;
};

/// What a claimant does when the platform does not answer in time.
enum class platform_policy {
    proceed_by_grants, ///< go on; the record is written when the platform returns
    wait,              ///< fence nothing until the claim is in the platform's table
};

/// Delays of detection and failover.
struct settings {
    platform_policy platform_down_policy{platform_policy::proceed_by_grants};
    duration contact_timeout{1'200'000};       ///< silence that counts as failure
    duration report_timeout{600'000};          ///< a replica without reports has no vote
    duration vote_interval{200'000};           ///< repetition of votes while suspecting
    duration vote_lifetime{700'000};           ///< a vote counts so long after its arrival
    duration start_jitter{100'000};            ///< spread of the claimants' start
    duration platform_timeout{300'000};        ///< before the platform counts as down
    duration platform_retry_interval{300'000}; ///< repetition of reads and writes of the row
    duration retry_interval{100'000};          ///< repetition of grant and promotion requests
    duration grant_timeout{600'000};           ///< for a majority of grants
    duration promotion_timeout{700'000};       ///< for the promoted server's answer
    duration hand_over_timeout{150'000};       ///< for the old primary's grant
    duration catch_up_interval{20'000};        ///< repetition while the target lacks entries
    duration claim_timeout{1'000'000};         ///< an open claim of another is left so long
    duration retry_backoff{500'000};           ///< after losing to another claimant
    duration record_timeout{2'000'000};        ///< before another records in a claimant's place
    duration order_timeout{5'000'000};         ///< before an operator's order counts as failed
    duration finish_timeout{3'000'000}; ///< a claimant goes on so long after it fenced servers
    duration pause_threshold{400'000};  ///< a longer gap between steps was a pause of the VM

    friend bool operator==(const settings&, const settings&) = default;
};

/// "DAEMON#ROUND".
[[nodiscard]] std::string to_string(const claim_id& claim);

/// "SERVER@TERM".
[[nodiscard]] std::string to_string(const primary_view& view);

} // namespace gypsumstep::failover
