// Random runs of fixed seeds: production must pass all of them, every mutant must be caught.
#include "gypsumstep/consistency/runs.h"

#include <catch2/catch.hpp>

using namespace gypsumstep::consistency;

namespace {

constexpr std::uint64_t production_seeds = 60;
constexpr std::uint64_t mutant_seeds = 200;

} // namespace

TEST_CASE("no invariant is violated under random faults")
{
    for (std::uint64_t seed = 1; seed <= production_seeds; ++seed) {
        INFO("replay: consistency_runs --seeds=1 --first=" << seed);
        const auto report = random_run(seed, rule_set::production);
        CAPTURE(report.violations);
        CHECK(report.violations.empty());
        CHECK(report.counts.acknowledged > 0);
    }
}

TEST_CASE("every mutant is caught")
{
    for (const rule_set mutant : all_mutants) {
        INFO(to_string(mutant));
        std::uint64_t caught = 0;
        for (std::uint64_t seed = 1; seed <= mutant_seeds && caught == 0; ++seed) {
            caught = random_run(seed, mutant).violations.empty() ? 0 : seed;
        }
        CHECK(caught != 0);
    }
}
