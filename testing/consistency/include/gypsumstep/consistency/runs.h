/// \file
/// Runs of one seed each, under the rules of production or of a mutant.
#pragma once

#include "gypsumstep/consistency/fault.h"
#include "gypsumstep/consistency/oracle.h"
#include "gypsumstep/failover/types.h"

#include <array>
#include <optional>
#include <vector>

namespace gypsumstep::consistency {

/// The rules of a run.
enum class rule_set {
    production,
    acknowledge_without_majority,
    elect_without_terms,
    read_without_majority,
    read_without_terms,
    resend_everything,
    grant_term_twice,
    not_run_without_majority,
    not_run_in_same_term,
};

/// Every mutant.
inline constexpr std::array<rule_set, 8> all_mutants{rule_set::acknowledge_without_majority,
                                                     rule_set::elect_without_terms,
                                                     rule_set::read_without_majority,
                                                     rule_set::read_without_terms,
                                                     rule_set::resend_everything,
                                                     rule_set::grant_term_twice,
                                                     rule_set::not_run_without_majority,
                                                     rule_set::not_run_in_same_term};

/// The name as it appears in reports.
[[nodiscard]] const char* to_string(rule_set rules);

/// What came of one run.
struct run_report {
    run_counts counts;
    std::vector<std::string> violations;
    std::vector<std::string> trace; ///< JSON lines; empty unless asked for
};

/// Random faults of \p seed against sessions that write, read and roam.
[[nodiscard]] run_report random_run(std::uint64_t seed, rule_set rules);

/// The same with a given list of faults, traced.
[[nodiscard]] run_report traced_run(std::uint64_t seed, rule_set rules,
                                    const std::vector<fault>& faults);

/// How the primary fails in a measured failover, and how the platform does.
struct measured_failure {
    fault_kind primary{fault_kind::kill_server}; ///< kill_server, freeze_server, cut_domain
    std::optional<fault_kind> platform;          ///< platform_down, platform_slow or nothing
    failover::platform_policy policy{failover::platform_policy::proceed_by_grants};
};

/// The time without acknowledged writes around one failover: from the last of the old
/// term to the first of a later one; nothing if there was none within 15 s.
[[nodiscard]] std::optional<duration> write_gap(std::uint64_t seed, const measured_failure& what);

/// The same for an operator's hand-over.
[[nodiscard]] std::optional<duration> hand_over_gap(std::uint64_t seed);

/// Primaries in 120 s with 5% loss and pauses of 200 ms; 1 means no needless failover.
[[nodiscard]] std::uint64_t primaries_of_lossy_run(std::uint64_t seed);

/// The faults of random_run().
[[nodiscard]] std::vector<fault> faults_of(std::uint64_t seed);

/// Those faults of a failing seed without which it would pass.
[[nodiscard]] std::vector<fault> shortest_faults(std::uint64_t seed, rule_set rules);

} // namespace gypsumstep::consistency
