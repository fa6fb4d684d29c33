// Runs floods on the fleets of both users and prints the results of each rank.
#include "flood/targets.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <iostream>

// NOLINTBEGIN: absl's macros define globals
ABSL_FLAG(std::string, site, "all", "holmgaard, mixlume, mixed or all");
ABSL_FLAG(std::string, variant, "all",
          "ranked, first_come_first_served, strict_priority, "
          "every_daemon_connects or all");
ABSL_FLAG(std::vector<std::string>, factors, (std::vector<std::string>{"2", "10", "50"}),
          "rates of flood arrivals, as multiples of the fleet's capacity");
ABSL_FLAG(std::uint64_t, seed, 1, "random seed of the run");
ABSL_FLAG(bool, json, false, "print JSON lines instead of a table");
// NOLINTEND

namespace {

using namespace gypsumstep;
using namespace gypsumstep::flood;

constexpr std::array rank_names{"urgent", "next", "last"};

double milliseconds(duration value)
{
    return std::chrono::duration<double, std::milli>{value}.count();
}

nlohmann::json to_json(const scenario& value, const outcome& flooded, const outcome& unflooded,
                       const std::vector<std::string>& missed)
{
    nlohmann::json ranks;
    for (std::size_t i = 0; i < rank_count; ++i) {
        const rank_result& measured = flooded.during.ranks[i];
        ranks[rank_names[i]] = {
            {"within_target", measured.within_target()},
            {"within_target_unflooded", unflooded.during.ranks[i].within_target()},
            {"good", measured.good},
            {"good_unflooded", unflooded.during.ranks[i].good},
            {"goodput_share", measured.good_slot_time / flooded.during.fleet_capacity},
            {"p50_ms", milliseconds(measured.p50)},
            {"p99_ms", milliseconds(measured.p99)}};
    }
    return {{"site", value.fleet.name},
            {"variant", to_string(value.selected_variant)},
            {"flooding", rank_names[index_of(value.flooding)]},
            {"factor", value.factor},
            {"bursting", value.bursting},
            {"seed", value.seed},
            {"goodput", flooded.during.goodput()},
            {"recovery_s", milliseconds(recovery_time(flooded, unflooded)) / 1'000},
            {"ranks", ranks},
            {"missed", missed}};
}

void print_row(const nlohmann::json& row)
{
    std::printf("%-9s %-23s %-6s %3.0fx %-6s goodput %.3f recovery %.1fs |",
                row["site"].get<std::string>().c_str(), row["variant"].get<std::string>().c_str(),
                row["flooding"].get<std::string>().c_str(), row["factor"].get<double>(),
                row["bursting"].get<bool>() ? "bursts" : "steady", row["goodput"].get<double>(),
                row["recovery_s"].get<double>());
    for (const char* name : rank_names) {
        const nlohmann::json& measured = row["ranks"][name];
        std::printf(" %s %.4f %.3f %4.0f/%4.0f |", name, measured["within_target"].get<double>(),
                    measured["goodput_share"].get<double>(), measured["p50_ms"].get<double>(),
                    measured["p99_ms"].get<double>());
    }
    std::printf(" missed %zu\n", row["missed"].size());
    for (const nlohmann::json& target : row["missed"]) {
        std::printf("    missed: %s\n", target.get<std::string>().c_str());
    }
}

std::vector<site> selected_sites()
{
    const std::string name = absl::GetFlag(FLAGS_site);
    std::vector<site> chosen;
    for (site& candidate : std::vector{holmgaard(), mixlume(), mixed()}) {
        if (name == "all" || name == candidate.name) {
            chosen.push_back(std::move(candidate));
        }
    }
    return chosen;
}

// Runs all floods on one site with one variant. Returns the number of targets missed.
std::size_t run_all(const site& fleet, variant tested)
{
    std::size_t missed_count = 0;
    for (const rank flooding : {rank::last, rank::next, rank::urgent}) {
        scenario value;
        value.fleet = fleet;
        value.selected_variant = tested;
        value.flooding = flooding;
        value.seed = absl::GetFlag(FLAGS_seed);
        const outcome unflooded = run_unflooded(value);
        for (const std::string& factor : absl::GetFlag(FLAGS_factors)) {
            for (const bool bursting : {false, true}) {
                value.factor = std::stod(factor);
                value.bursting = bursting;
                const outcome flooded = run(value);
                const auto missed = missed_targets(value, flooded, unflooded);
                missed_count += missed.size();
                const nlohmann::json row = to_json(value, flooded, unflooded, missed);
                if (absl::GetFlag(FLAGS_json)) {
                    std::cout << row.dump() << std::endl;
                }
                else {
                    print_row(row);
                }
            }
        }
    }
    return missed_count;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Floods of one rank in virtual time. A row shows for each rank "
                                 "the share within target, the share of capacity spent on good "
                                 "answers and p50/p99 in ms. Exits 1 if the product missed a "
                                 "target; baselines never count.");
    absl::ParseCommandLine(argc, argv);
    const std::string name = absl::GetFlag(FLAGS_variant);
    std::size_t missed = 0;
    for (const site& fleet : selected_sites()) {
        for (const variant tested : all_variants) {
            if (name != "all" && name != to_string(tested)) {
                continue;
            }
            const std::size_t count = run_all(fleet, tested);
            missed += tested == variant::ranked ? count : 0;
        }
    }
    return missed == 0 ? 0 : 1;
}
