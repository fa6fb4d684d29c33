#include "gypsumstep/consistency/cluster.h"
#include "gypsumstep/consistency/runs.h"

namespace gypsumstep::consistency {
namespace {

constexpr duration warm_up{4'000'000};
constexpr duration observed{15'000'000};

scenario quiet_scenario(std::uint64_t seed)
{
    scenario what;
    what.seed = seed;
    what.sessions = 8;
    what.habits = {0.0, 0.2, 5'000us, 20'000us};
    what.links = {19ms, 21ms, 0.0, 0.0}; // every link as long as between regions
    what.lost_platform_answers = 0.0;
    return what;
}

/// From the last acknowledgement before the failure to the first of a later term.
///
/// What is acknowledged after the failure in the old term was looked up on the new
/// primary and does not end the gap, so the figure is never too small.
std::optional<duration> gap_of(const oracle& checks, term old_term, time_point last_before)
{
    const auto first = checks.first_acknowledgement.upper_bound(old_term);
    if (first == checks.first_acknowledgement.end()) {
        return std::nullopt;
    }
    return first->second - last_before;
}

} // namespace

std::optional<duration> write_gap(std::uint64_t seed, const measured_failure& what)
{
    scenario quiet = quiet_scenario(seed);
    quiet.failover.platform_down_policy = what.policy;
    cluster<production> group{quiet};
    random_source random{hash_combine(seed, 99)};
    group.pass(warm_up + random.between(0us, 1s));
    if (what.platform) {
        group.strike({*what.platform, group.now(), 2 * observed, 0, 0});
        group.pass(100ms);
    }
    const auto* old = group.primary();
    if (old == nullptr) {
        return std::nullopt;
    }
    const term old_term = old->office_term();
    const time_point last_before = group.checks.last_acknowledged.value_or(group.now());
    group.strike({what.primary, group.now(), 2 * observed, old->id().value(), 0});
    group.pass(observed);
    return gap_of(group.checks, old_term, last_before);
}

std::optional<duration> hand_over_gap(std::uint64_t seed)
{
    cluster<production> group{quiet_scenario(seed)};
    random_source random{hash_combine(seed, 99)};
    group.pass(warm_up + random.between(0us, 1s));
    const auto* old = group.primary();
    if (old == nullptr) {
        return std::nullopt;
    }
    const term old_term = old->office_term();
    const time_point last_before = group.checks.last_acknowledged.value_or(group.now());
    group.strike({fault_kind::operator_order, group.now(), 0us,
                  static_cast<std::uint32_t>(random.below(6)), old->id().value() + 1});
    group.pass(5s);
    return gap_of(group.checks, old_term, last_before);
}

std::uint64_t primaries_of_lossy_run(std::uint64_t seed)
{
    scenario lossy = quiet_scenario(seed);
    lossy.sessions = 1;
    lossy.habits.pause_high = 1s;
    lossy.links = {500us, 20ms, 0.05, 0.01};
    cluster<production> group{lossy};
    random_source random{hash_combine(seed, 98)};
    while (group.now() < time_point{120s}) {
        group.pass(random.between(100ms, 1s));
        const auto kind =
            random.chance(0.5) ? fault_kind::freeze_server : fault_kind::freeze_daemon;
        group.strike({kind, group.now(), 200ms, static_cast<std::uint32_t>(random.below(6)), 0});
    }
    return group.checks.counts.primaries;
}

} // namespace gypsumstep::consistency
