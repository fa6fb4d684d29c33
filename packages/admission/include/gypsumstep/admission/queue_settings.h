/// \file
/// Settings of the queue for one backend server.
#pragma once

#include "gypsumstep/base/rank.h"
#include "gypsumstep/base/time.h"

#include <array>
#include <cstdint>

namespace gypsumstep::admission {

/// Settings of one rank within a queue.
struct rank_settings {
    double slot_floor{0.0};          ///< share of slot time guaranteed to this rank, in [0, 1)
    std::uint32_t queue_limit{1000}; ///< requests that may wait, see basic_server_queue
    duration default_timeout{5s};    ///< for requests without a deadline

    friend bool operator==(const rank_settings&, const rank_settings&) = default;
};

/// Settings of one queue. The slot floors of all ranks must sum to less than 1.
struct queue_settings {
    std::array<rank_settings, rank_count> ranks{};
    duration initial_service_time{10ms}; ///< initial estimate, replaced by measurements

    friend bool operator==(const queue_settings&, const queue_settings&) = default;
};

} // namespace gypsumstep::admission
