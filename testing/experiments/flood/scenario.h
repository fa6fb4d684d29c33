/// \file
/// One flood on one fleet under one policy.
#pragma once

#include "flood/measurements.h"
#include "flood/site.h"

#include <optional>
#include <string_view>

namespace gypsumstep::flood {

/// How requests reach servers.
enum class variant {
    ranked, ///< the product: ranked queues at two homes of each server
    first_come_first_served,
    strict_priority,       ///< without floors
    every_daemon_connects, ///< ranked queues at each daemon, without homes
};

/// All variants, the product first.
inline constexpr std::array all_variants{variant::ranked, variant::first_come_first_served,
                                         variant::strict_priority, variant::every_daemon_connects};

/// The variant's name as it appears in reports.
[[nodiscard]] std::string_view to_string(variant value);

/// What happens in a run.
struct scenario {
    site fleet;
    variant how{variant::ranked};
    rank flooding{rank::last};
    double factor{50};    ///< flood arrivals over capacity; 0 runs without a flood
    bool bursting{false}; ///< the same number of arrivals, in bursts
    bool faults{true};    ///< kill a home and slow a server during the flood
    duration calm{4s};    ///< before the flood
    duration flood{8s};
    duration afterwards{32s};
    duration takeover{1500ms}; ///< from a home's death until its partner has its slots
    std::uint64_t seed{1};
};

/// Length of the spans in which recovery is judged. Shorter ones have too few requests
/// of the urgent rank for a 99th percentile.
inline constexpr duration p99_span = 25s;

/// Results of a run.
struct outcome {
    span_result before;
    span_result during;
    span_result after;
    std::vector<rank_latencies> p99_after; ///< in spans of p99_span that start each second
};

/// Runs a scenario in virtual time.
[[nodiscard]] outcome run(const scenario& value);

} // namespace gypsumstep::flood
