/// \file
/// What the daemons share about the promotion of one database group.
#pragma once

#include "gypsumstep/base/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gypsumstep::promotion {

/// Time on the store's steady clock.
using store_time = std::chrono::milliseconds;

/// The right to order promotions of one group, in one row of the store.
struct claim {
    std::string holder;     ///< daemon
    std::uint64_t token{0}; ///< fencing token; grows with every new target
    std::string target;     ///< instance id of the server to promote
    store_time claimed_at{0};

    friend bool operator==(const claim&, const claim&) = default;
};

/// One daemon's report that it cannot reach the primary.
struct suspicion {
    std::string daemon;
    std::string primary; ///< instance id
    store_time reported_at{0};

    friend bool operator==(const suspicion&, const suspicion&) = default;
};

/// The rows of one group, read at one moment.
struct shared_state {
    std::optional<claim> current_claim;
    std::uint64_t claim_version{0}; ///< of the claim's row; 0 if there is none
    std::vector<suspicion> suspicions;
    std::size_t daemons{0}; ///< that connect to the group's servers; 0 if unknown
    store_time now{0};

    friend bool operator==(const shared_state&, const shared_state&) = default;
};

} // namespace gypsumstep::promotion
