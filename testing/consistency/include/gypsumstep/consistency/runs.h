/// \file
/// Runs of one seed each, under the rules of production or of a mutant.
#pragma once

#include "gypsumstep/consistency/fault.h"
#include "gypsumstep/consistency/oracle.h"
#include "gypsumstep/failover/types.h"

#include <array>
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

/// The faults of random_run().
[[nodiscard]] std::vector<fault> faults_of(std::uint64_t seed);

/// Those faults of a failing seed without which it would pass.
[[nodiscard]] std::vector<fault> shortest_faults(std::uint64_t seed, rule_set rules);

} // namespace gypsumstep::consistency
