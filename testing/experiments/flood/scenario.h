/// \file
/// A scenario: one flood on one fleet with one variant of admission.
#pragma once

#include "flood/measurements.h"
#include "flood/site.h"

#include <optional>
#include <string_view>

namespace gypsumstep::flood {

/// How requests are scheduled and reach servers.
enum class variant {
    ranked, ///< the product: ranked queues at two homes of each server
    first_come_first_served,
    strict_priority,       ///< by rank, without slot floors
    every_daemon_connects, ///< ranked queues at every daemon, without homes
};

/// All variants, the product first.
inline constexpr std::array all_variants{variant::ranked, variant::first_come_first_served,
                                         variant::strict_priority, variant::every_daemon_connects};

/// The variant's name as it appears in reports.
[[nodiscard]] std::string_view to_string(variant value);

/// Parameters of a run.
struct scenario {
    site fleet;
    variant selected_variant{variant::ranked};
    rank flooding{rank::last};
    double factor{50};         ///< rate of flood arrivals as a multiple of capacity; 0: no flood
    bool bursting{false};      ///< the same number of flood arrivals, in bursts
    bool faults{true};         ///< kill a daemon that is a home and slow a server during the flood
    duration calm{4s};         ///< time before the flood
    duration flood{8s};        ///< length of the flood
    duration afterwards{32s};  ///< time after the flood
    duration takeover{1500ms}; ///< until the partner of a failed home takes over its slots
    std::uint64_t seed{1};
};

/// Length of the spans over which recovery is evaluated. Shorter spans have too few requests of
/// the urgent rank for a 99th percentile.
inline constexpr duration p99_span = 25s;

/// Results of a run.
struct outcome {
    span_result before;
    span_result during;
    span_result after;
    std::vector<rank_latencies> p99_after; ///< of spans of length p99_span that start every second
};

/// Runs a scenario in virtual time.
[[nodiscard]] outcome run(const scenario& value);

} // namespace gypsumstep::flood
