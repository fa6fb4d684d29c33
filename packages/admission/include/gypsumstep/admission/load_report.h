/// \file
/// Load of a home's queue for one backend server, as reported to entry daemons.
#pragma once

#include "gypsumstep/base/rank.h"
#include "gypsumstep/base/time.h"

#include <array>
#include <cstdint>

namespace gypsumstep::admission {

/// Load of one rank.
struct rank_load {
    duration estimated_wait{0}; ///< until a request offered now would start
    duration service_time{0};   ///< mean service time on the server
    bool full{false};           ///< the rank's queue is at its length limit

    friend bool operator==(const rank_load&, const rank_load&) = default;
};

/// Load of one queue.
struct load_report {
    std::array<rank_load, rank_count> ranks{};
    std::uint32_t free_slots{0};
    double error_share{0.0}; ///< recent share of server faults, in [0, 1]
    bool accepting{true};    ///< false: new work is refused

    friend bool operator==(const load_report&, const load_report&) = default;
};

/// Expected response time, increased according to the share of faults.
///
/// Used to choose between servers: lower is better. A server that fails fast gets a long expected
/// response time, because each fault costs the client another attempt.
[[nodiscard]] duration expected_response(const load_report& report, rank level);

} // namespace gypsumstep::admission
