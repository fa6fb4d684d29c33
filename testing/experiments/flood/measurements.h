/// \file
/// What a run measures.
#pragma once

#include "gypsumstep/base/rank.h"
#include "gypsumstep/base/time.h"

#include <array>
#include <cstdint>
#include <vector>

namespace gypsumstep::flood {

/// Results of one rank over one span of time.
struct rank_result {
    std::uint64_t offered{0}; ///< by callers that are not part of the flood
    std::uint64_t good{0};    ///< of those, answered within the target
    std::uint64_t flood_offered{0};
    double good_slot_time{0};     ///< seconds of slot time spent on good answers, flood included
    double eligible_slot_time{0}; ///< of it, on servers that the flooding rank may use
    duration p50{0};              ///< of all answers, flood included
    duration p99{0};

    /// Share of the ordinary callers' requests that were good, in [0, 1].
    [[nodiscard]] double within_target() const;
};

/// Results of one span of time.
struct span_result {
    std::array<rank_result, rank_count> ranks{};
    double fleet_capacity{0};    ///< seconds of slot time that live homes held
    double eligible_capacity{0}; ///< of it, on servers that the flooding rank may use

    /// Good slot time of all ranks on eligible servers as a share of their capacity.
    [[nodiscard]] double goodput() const;
};

/// A latency of each rank.
using rank_latencies = std::array<duration, rank_count>;

/// One request's fate.
struct sample {
    rank level{rank::urgent};
    bool part_of_flood{false};
    bool good{false};
    bool on_eligible_server{false};
    bool answered{false};
    time_point offered;
    duration latency{0};
    duration service_time{0};
};

/// Collects samples and evaluates spans of them.
class measurements {
public:
    /// Adds one request's fate.
    void add(const sample& value) { m_samples.push_back(value); }

    /// Results of the requests offered in [from, until).
    [[nodiscard]] span_result evaluate(time_point from, time_point until) const;

    /// The 99th percentile of each rank in overlapping spans of [from, until) that
    /// start each second.
    [[nodiscard]] std::vector<rank_latencies> p99_series(time_point from, time_point until,
                                                         duration span) const;

private:
    std::vector<sample> m_samples;
};

} // namespace gypsumstep::flood
