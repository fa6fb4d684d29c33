#include "gypsumstep/consistency/fault.h"

#include <algorithm>
#include <array>

namespace gypsumstep::consistency {
namespace {

constexpr std::uint64_t fewest_faults = 4;
constexpr std::uint64_t fault_spread = 10;
constexpr std::uint64_t subjects = 6;

constexpr std::array<const char*, fault_kinds> names{
    "kill_server",  "freeze_server",  "kill_daemon",      "freeze_daemon", "cut_domain",
    "cut_one_way",  "platform_down",  "platform_slow",    "lossy_network", "operator_order",
    "mute_primary", "kill_successor", "isolate_successor"};

constexpr duration mute_length{3'000'000};
constexpr duration pair_interval{4'500'000}; // a failover, and time to go on after it

std::vector<fault> double_failures(random_source& random, duration span)
{
    std::vector<fault> faults;
    if (random.chance(0.5)) {
        faults.push_back({fault_kind::platform_down, time_point{1s}, span, 0, 0});
    }
    for (time_point at{3s}; at < time_point{span}; at += pair_interval) {
        const bool isolate = random.chance(0.5);
        faults.push_back({fault_kind::mute_primary, at, mute_length, 0, 0});
        faults.push_back({isolate ? fault_kind::isolate_successor : fault_kind::kill_successor, at,
                          random.between(50ms, 400ms), 0, 0});
    }
    return faults;
}

} // namespace

std::string to_string(const fault& value)
{
    return std::string{names.at(static_cast<std::size_t>(value.kind))} + " " +
           std::to_string(value.subject) + " " + std::to_string(value.other) + " for " +
           std::to_string(value.length / 1ms) + " ms";
}

std::vector<fault> random_faults(std::uint64_t seed, duration span)
{
    random_source random{hash_combine(seed, span.count())};
    if (has_double_failures(seed)) {
        return double_failures(random, span);
    }
    std::vector<fault> faults(fewest_faults + random.below(fault_spread));
    for (fault& one : faults) {
        one.kind = static_cast<fault_kind>(random.below(fault_kinds));
        one.at = time_point{random.between(2s, span)};
        one.length = random.between(200ms, 5s);
        one.subject = static_cast<std::uint32_t>(random.below(subjects));
        one.other = static_cast<std::uint32_t>(random.below(subjects));
    }
    std::sort(faults.begin(), faults.end(),
              [](const fault& left, const fault& right) { return left.at < right.at; });
    return faults;
}

} // namespace gypsumstep::consistency
