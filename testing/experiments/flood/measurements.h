/// \file
/// Measurements of a run.
#pragma once

#include "gypsumstep/base/rank.h"
#include "gypsumstep/base/time.h"

#include <array>
#include <cstdint>
#include <vector>

namespace gypsumstep::flood {

/// Results of one rank over one span of time.
struct rank_result {
    std::uint64_t offered{0};       ///< requests of accounts that are not part of the flood
    std::uint64_t good{0};          ///< offered requests that were answered within the target
    std::uint64_t flood_offered{0}; ///< requests of the flood
    double good_slot_time{0};       ///< seconds of slot time used by good answers, flood included
    double eligible_slot_time{0};   ///< the part on servers that the flooding rank may use
    duration p50{0};                ///< median latency of all answers, flood included
    duration p99{0};                ///< 99th percentile of the same

    /// Share of the offered requests that were good, in [0, 1].
    [[nodiscard]] double within_target() const;
};

/// Results of one span of time.
struct span_result {
    std::array<rank_result, rank_count> ranks{};
    double fleet_capacity{0};    ///< seconds of slot time available to live homes
    double eligible_capacity{0}; ///< the part on servers that the flooding rank may use

    /// Good slot time of all ranks on eligible servers, as a share of the capacity of these
    /// servers.
    [[nodiscard]] double goodput() const;
};

/// One latency for each rank.
using rank_latencies = std::array<duration, rank_count>;

/// The outcome of one request.
struct sample {
    rank level{rank::urgent};
    bool part_of_flood{false};
    bool good{false}; ///< answered within the target
    bool on_eligible_server{false};
    bool answered{false};
    time_point offered; ///< when the request was offered
    duration latency{0};
    duration service_time{0};
};

/// Collects samples and evaluates them over spans of time.
class measurements {
public:
    /// Adds the outcome of one request.
    void add(const sample& value) { m_samples.push_back(value); }

    /// Results of the requests offered in [from, until). Slot time is that of the answers in this
    /// span.
    [[nodiscard]] span_result evaluate(time_point from, time_point until) const;

    /// The 99th percentiles of each rank over the spans of length \p span within [from, until).
    /// A span starts every second, so spans may overlap.
    [[nodiscard]] std::vector<rank_latencies> p99_series(time_point from, time_point until,
                                                         duration span) const;

private:
    std::vector<sample> m_samples;
};

} // namespace gypsumstep::flood
