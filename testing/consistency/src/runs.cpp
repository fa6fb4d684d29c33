#include "gypsumstep/consistency/runs.h"

#include "gypsumstep/consistency/cluster.h"

namespace gypsumstep::consistency {
namespace {

template <class Rules>
run_report run_once(const scenario& what)
{
    cluster<Rules> group{what};
    group.run();
    return {group.checks.counts, group.checks.violations(), group.checks.lines()};
}

run_report run_with(rule_set rules, const scenario& what)
{
    switch (rules) {
    case rule_set::acknowledge_without_majority:
        return run_once<acknowledge_without_majority>(what);
    case rule_set::elect_without_terms:
        return run_once<elect_without_terms>(what);
    case rule_set::read_without_majority:
        return run_once<read_without_majority>(what);
    case rule_set::read_without_terms:
        return run_once<read_without_terms>(what);
    case rule_set::resend_everything:
        return run_once<resend_everything>(what);
    case rule_set::grant_term_twice:
        return run_once<grant_term_twice>(what);
    case rule_set::not_run_without_majority:
        return run_once<not_run_without_majority>(what);
    case rule_set::not_run_in_same_term:
        return run_once<not_run_in_same_term>(what);
    case rule_set::production:
        break;
    }
    return run_once<production>(what);
}

scenario scenario_of(std::uint64_t seed, std::vector<fault> faults)
{
    scenario what;
    what.seed = seed;
    what.faults = std::move(faults);
    if (has_double_failures(seed)) {
        what.links = {5ms, 40ms, 0.01, 0.01}; // claimants and confirmations cross more often
        what.sessions = 24;
    }
    return what;
}

} // namespace

const char* to_string(rule_set rules)
{
    switch (rules) {
    case rule_set::acknowledge_without_majority:
        return "acknowledge_without_majority";
    case rule_set::elect_without_terms:
        return "elect_without_terms";
    case rule_set::read_without_majority:
        return "read_without_majority";
    case rule_set::read_without_terms:
        return "read_without_terms";
    case rule_set::resend_everything:
        return "resend_everything";
    case rule_set::grant_term_twice:
        return "grant_term_twice";
    case rule_set::not_run_without_majority:
        return "not_run_without_majority";
    case rule_set::not_run_in_same_term:
        return "not_run_in_same_term";
    case rule_set::production:
        break;
    }
    return "production";
}

std::vector<fault> faults_of(std::uint64_t seed)
{
    return random_faults(seed, scenario{}.active);
}

run_report random_run(std::uint64_t seed, rule_set rules)
{
    return run_with(rules, scenario_of(seed, faults_of(seed)));
}

run_report traced_run(std::uint64_t seed, rule_set rules, const std::vector<fault>& faults)
{
    scenario what = scenario_of(seed, faults);
    what.tracing = true;
    return run_with(rules, what);
}

std::vector<fault> shortest_faults(std::uint64_t seed, rule_set rules)
{
    std::vector<fault> kept = faults_of(seed);
    for (std::size_t i = kept.size(); i-- > 0;) {
        std::vector<fault> fewer = kept;
        fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(i));
        if (!run_with(rules, scenario_of(seed, fewer)).violations.empty()) {
            kept = std::move(fewer);
        }
    }
    return kept;
}

} // namespace gypsumstep::consistency
