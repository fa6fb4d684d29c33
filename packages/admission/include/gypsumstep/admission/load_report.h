/// \file
/// How loaded a home's queue for one server is, as told to entry daemons.
#pragma once

#include "gypsumstep/base/rank.h"
#include "gypsumstep/base/time.h"

#include <array>
#include <cstdint>

namespace gypsumstep::admission {

/// How loaded one rank is.
struct rank_load {
    duration estimated_wait{0}; ///< until a request offered now would start
    duration service_time{0};   ///< mean time on the server
    bool full{false};           ///< the queue is at its length limit

    friend bool operator==(const rank_load&, const rank_load&) = default;
};

/// Summary of one queue.
struct load_report {
    std::array<rank_load, rank_count> ranks{};
    std::uint32_t free_slots{0};
    double error_share{0.0}; ///< recent share of server faults, in [0, 1]
    bool accepting{true};    ///< false: takes no new work

    friend bool operator==(const load_report&, const load_report&) = default;
};

/// Expected time until an answer, raised by the share of faults.
///
/// For choosing between servers: lower is better. A server that fails fast looks
/// slow here, because each fault costs the caller another attempt.
[[nodiscard]] duration expected_response(const load_report& value, rank level);

} // namespace gypsumstep::admission
