// Long random runs: consistency_runs --seeds=N --first=N [--rules=NAME] [--trace]
#include "gypsumstep/consistency/runs.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

ABSL_FLAG(std::uint64_t, seeds, 100, "number of seeds to run");
ABSL_FLAG(std::uint64_t, first, 1, "first seed");
ABSL_FLAG(std::string, rules, "production", "rule set: production or a mutant's name");
ABSL_FLAG(bool, trace, false, "print the trace of every seed, not only of failing ones");

using namespace gypsumstep::consistency;

namespace {

rule_set chosen_rules()
{
    const std::string name = absl::GetFlag(FLAGS_rules);
    const auto* found = std::find_if(all_mutants.begin(), all_mutants.end(),
                                     [&](rule_set one) { return name == to_string(one); });
    return found == all_mutants.end() ? rule_set::production : *found;
}

void print_failure(std::uint64_t seed, rule_set rules)
{
    const auto faults = shortest_faults(seed, rules);
    for (const auto& line : traced_run(seed, rules, faults).trace) {
        std::cout << line << '\n';
    }
    std::cout << "replay: consistency_runs --seeds=1 --first=" << seed
              << " --rules=" << to_string(rules) << '\n';
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    const rule_set rules = chosen_rules();
    const std::uint64_t first = absl::GetFlag(FLAGS_first);
    run_counts sum;
    std::uint64_t failed = 0;
    for (std::uint64_t seed = first; seed < first + absl::GetFlag(FLAGS_seeds); ++seed) {
        const run_report report = random_run(seed, rules);
        sum.acknowledged += report.counts.acknowledged;
        sum.not_run += report.counts.not_run;
        sum.unknown += report.counts.unknown;
        sum.lookups += report.counts.lookups;
        sum.reads += report.counts.reads;
        sum.replica_reads += report.counts.replica_reads;
        sum.primaries += report.counts.primaries;
        if (absl::GetFlag(FLAGS_trace)) {
            for (const auto& line : traced_run(seed, rules, faults_of(seed)).trace) {
                std::cout << line << '\n';
            }
        }
        if (!report.violations.empty()) {
            ++failed;
            std::cout << "seed " << seed << ": " << report.violations.front() << '\n';
            if (failed == 1) {
                print_failure(seed, rules);
            }
        }
    }
    const nlohmann::ordered_json summary{{"rules", to_string(rules)},
                                         {"first", first},
                                         {"seeds", absl::GetFlag(FLAGS_seeds)},
                                         {"failed", failed},
                                         {"acknowledged", sum.acknowledged},
                                         {"not_run", sum.not_run},
                                         {"unknown_at_deadline", sum.unknown},
                                         {"lookups", sum.lookups},
                                         {"reads", sum.reads},
                                         {"replica_reads", sum.replica_reads},
                                         {"primaries", sum.primaries}};
    std::cout << summary.dump() << '\n';
    return failed == 0 ? 0 : 1;
}
