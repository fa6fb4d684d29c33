#include "flood/targets.h"

#include <algorithm>

namespace gypsumstep::flood {

namespace {

constexpr double urgent_within_target = 0.99; // share of requests, under a flood of rank last
constexpr double urgent_goodput_kept = 0.95;  // share of the goodput without a flood
constexpr double floor_kept = 0.95;    // share of a slot floor, or of the demand if that is lower
constexpr double goodput_share = 0.95; // share of the capacity
constexpr double full_flood = 50.0;    // factor from which on total goodput is checked
constexpr duration max_recovery = 5s;
constexpr double normal_tolerance = 1.2; // factor over the highest p99 of a span without a flood

std::string describe_miss(std::string_view target, double measured, double required)
{
    return std::string{target} + ": " + std::to_string(measured) + ", required " +
           std::to_string(required);
}

} // namespace

outcome run_unflooded(scenario value)
{
    value.factor = 0;
    return run(value);
}

duration recovery_time(const outcome& flooded, const outcome& unflooded)
{
    rank_latencies normal{};
    for (const rank_latencies& span : unflooded.p99_after) {
        for (std::size_t i = 0; i < rank_count; ++i) {
            normal[i] = std::max(normal[i], span[i]);
        }
    }
    duration recovered{0};
    for (std::size_t second = 0; second < flooded.p99_after.size(); ++second) {
        for (std::size_t i = 0; i < rank_count; ++i) {
            const auto allowed = static_cast<double>(normal[i].count()) * normal_tolerance;
            if (static_cast<double>(flooded.p99_after[second][i].count()) > allowed) {
                recovered = duration{1s} * static_cast<duration::rep>(second + 1);
            }
        }
    }
    return recovered;
}

std::vector<std::string> missed_targets(const scenario& value, const outcome& flooded,
                                        const outcome& unflooded)
{
    std::vector<std::string> missed;
    const auto require = [&](std::string_view target, double measured, double required) {
        if (measured < required) {
            missed.push_back(describe_miss(target, measured, required));
        }
    };
    const rank_result& urgent = flooded.during.ranks[index_of(rank::urgent)];
    const rank_result& urgent_unflooded = unflooded.during.ranks[index_of(rank::urgent)];
    if (value.flooding == rank::last) {
        require("urgent within target", urgent.within_target(), urgent_within_target);
        require("urgent goodput kept",
                static_cast<double>(urgent.good) / static_cast<double>(urgent_unflooded.good),
                urgent_goodput_kept);
    }
    for (const rank level : all_ranks) {
        const std::size_t i = index_of(level);
        const double floor = value.fleet.work[i].floor * flooded.during.fleet_capacity;
        const double demand = unflooded.during.ranks[i].good_slot_time;
        const double expected = level == value.flooding ? floor : std::min(floor, demand);
        require("slot time of rank " + std::to_string(i) + " against its floor",
                flooded.during.ranks[i].good_slot_time, floor_kept * expected);
    }
    if (value.factor >= full_flood) {
        require("total goodput", flooded.during.goodput(), goodput_share);
    }
    if (recovery_time(flooded, unflooded) > max_recovery) {
        missed.emplace_back("recovery took longer than 5 s");
    }
    return missed;
}

} // namespace gypsumstep::flood
