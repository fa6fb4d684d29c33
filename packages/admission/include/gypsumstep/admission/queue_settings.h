/// \file
/// Settings of a server's queue.
#pragma once

#include "gypsumstep/base/rank.h"
#include "gypsumstep/base/time.h"

#include <array>
#include <cstdint>

namespace gypsumstep::admission {

/// Settings of one rank within a queue.
struct rank_settings {
    double slot_floor{0.0};          ///< share of slot time kept for this rank, in [0, 1)
    std::uint32_t queue_limit{1000}; ///< requests that may wait, see basic_server_queue
    duration patience{5s};           ///< time allowed to a request without a deadline

    friend bool operator==(const rank_settings&, const rank_settings&) = default;
};

/// Settings of one queue. The floors of all ranks must sum to less than 1.
struct queue_settings {
    std::array<rank_settings, rank_count> ranks{};
    duration initial_service_time{10ms}; ///< assumed until service times are measured

    friend bool operator==(const queue_settings&, const queue_settings&) = default;
};

} // namespace gypsumstep::admission
