/// \file
/// State about the promotion of one database group that the daemons share through the store.
#pragma once

#include "gypsumstep/base/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gypsumstep::promotion {

/// A time on the store's steady clock.
using store_time = std::chrono::milliseconds;

/// The right to order promotions of one group; stored as one row.
struct claim {
    std::string holder;     ///< name of the daemon that holds the claim
    std::uint64_t token{0}; ///< fencing token; increases with every new target
    std::string target;     ///< instance id of the server to promote; empty while none may lead
    store_time claimed_at{0};
    std::string former; ///< server that led before the promotion; empty if the holder knows none
    /// Instance ids of the servers named by orders that may still be carried out, under this claim
    /// or earlier ones; the newest last.
    std::vector<std::string> ordered{};
    /// Servers of the group may still be paused, under this claim or an earlier one.
    bool paused{false};

    /// Whether nothing that was sent under this claim or an earlier one may still take effect.
    [[nodiscard]] bool is_settled() const { return ordered.empty() && !paused; }

    friend bool operator==(const claim&, const claim&) = default;
};

/// One daemon's report that it cannot reach the primary.
struct suspicion {
    std::string daemon;
    std::string primary; ///< instance id of the suspected primary
    store_time reported_at{0};

    friend bool operator==(const suspicion&, const suspicion&) = default;
};

/// All rows of one group, read atomically.
struct shared_state {
    std::optional<claim> current_claim;
    std::uint64_t claim_version{0}; ///< version of the claim's row; 0 if there is none
    std::uint64_t min_token{0};     ///< no claim that could not be read had a higher token
    std::vector<suspicion> suspicions;
    std::size_t daemons{0}; ///< number of daemons that connect to the group's servers; 0 if unknown
    store_time now{0};

    friend bool operator==(const shared_state&, const shared_state&) = default;
};

} // namespace gypsumstep::promotion
