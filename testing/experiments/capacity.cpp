// Measures what membership and homes cost one daemon, from small fleets up to the
// size to design for, and fits straight lines through the figures.
#include "fault_run.h"
#include "gossip_load.h"
#include "homes_load.h"
#include "measurement.h"
#include "spread_run.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cmath>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

// NOLINTBEGIN: the flag macros define globals
ABSL_FLAG(std::string, part, "all", "gossip, homes, spread, faults or all");
ABSL_FLAG(std::string, json, "", "file for the figures as JSON");
ABSL_FLAG(std::vector<std::string>, members, (std::vector<std::string>{"50", "200", "800", "3400"}),
          "sizes of the fleet around one core");
ABSL_FLAG(std::vector<std::string>, fleet, (std::vector<std::string>{"100", "200", "400", "800"}),
          "sizes of whole fleets of real cores");
ABSL_FLAG(double, seconds, 3600, "virtual seconds of each run of one core");
ABSL_FLAG(int, rounds, 25, "configuration changes published in each fleet");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of all runs");
// NOLINTEND

namespace gypsumstep::experiments {
namespace {

constexpr std::uint32_t full_members = 3'400;
constexpr std::uint32_t full_groups = 6'800;
constexpr std::uint32_t full_servers = 20'400;
constexpr std::uint16_t full_domains = 19;

std::vector<std::uint32_t> sizes_of(const std::vector<std::string>& texts)
{
    std::vector<std::uint32_t> sizes;
    sizes.reserve(texts.size());
    for (const std::string& text : texts) {
        sizes.push_back(static_cast<std::uint32_t>(std::stoul(text)));
    }
    return sizes;
}

/// Shares of the full size with at least four points.
std::vector<std::uint32_t> fractions_of(std::uint32_t full)
{
    return {full / 8, full / 4, full / 2, full};
}

const std::vector<std::string> gossip_quantities{"state B",     "messages/s in", "messages/s out",
                                                 "bytes/s in",  "bytes/s out",   "peak B/s out",
                                                 "core percent"};

std::vector<double> to_values(const gossip_cost& cost)
{
    return {cost.state_bytes, cost.messages_in,    cost.messages_out, cost.bytes_in,
            cost.bytes_out,   cost.peak_bytes_out, cost.core_percent};
}

void measure_gossip(std::vector<measurement>& results)
{
    const std::uint64_t seed = absl::GetFlag(FLAGS_seed);
    gossip_load load;
    load.seconds = absl::GetFlag(FLAGS_seconds);
    measurement by_members{"one membership core, 12,000 configuration changes a day", "members",
                           gossip_quantities};
    for (const std::uint32_t members : sizes_of(absl::GetFlag(FLAGS_members))) {
        load.members = members;
        // Restarts grow with the fleet; changes of configuration and primary do not here.
        load.member_changes_per_day = 1'264.0 * members / full_members;
        by_members.add(members, to_values(run_gossip_load(load, seed)));
    }
    results.push_back(by_members);
    load.members = full_members;
    load.member_changes_per_day = 1'264;
    measurement by_changes{"one membership core, 3,400 members", "changes/day", gossip_quantities};
    for (const double changes : {0.0, 3'000.0, 6'000.0, 12'000.0, 24'000.0, 48'000.0}) {
        load.config_changes_per_day = changes;
        by_changes.add(changes, to_values(run_gossip_load(load, seed)));
    }
    results.push_back(by_changes);
    load.config_changes_per_day = 12'000;
    measurement by_groups{"one membership core, 3,400 members", "groups", gossip_quantities};
    for (const std::uint32_t groups : fractions_of(full_groups)) {
        load.groups = groups;
        by_groups.add(groups, to_values(run_gossip_load(load, seed)));
    }
    results.push_back(by_groups);
}

void measure_homes(std::vector<measurement>& results)
{
    const std::vector<std::string> quantities{"state B", "build ms", "change us", "servers moved",
                                              "homed by busiest"};
    const auto to_row = [](const home_map_cost& cost) -> std::vector<double> {
        return {cost.state_bytes, cost.build_milliseconds, cost.change_microseconds,
                cost.servers_moved, cost.homed_by_busiest};
    };
    measurement by_servers{"home map, 3,400 daemons", "servers", quantities};
    for (const std::uint32_t servers : fractions_of(full_servers)) {
        by_servers.add(servers, to_row(run_home_map(servers, full_members, full_domains)));
    }
    results.push_back(by_servers);
    measurement by_daemons{"home map, 20,400 servers", "daemons", quantities};
    for (const std::uint32_t daemons : fractions_of(full_members)) {
        by_daemons.add(daemons, to_row(run_home_map(full_servers, daemons, full_domains)));
    }
    results.push_back(by_daemons);
    measurement ledger{"share ledger, 30 connections each",
                       "servers homed",
                       {"state B", "take-over us", "statement ns"}};
    for (const std::uint32_t servers : {6U, 12U, 24U, 48U, 96U}) {
        const ledger_cost cost = run_share_ledger(servers);
        ledger.add(servers,
                   {cost.state_bytes, cost.take_over_microseconds, cost.statement_nanoseconds});
    }
    results.push_back(ledger);
}

void measure_spread(std::vector<measurement>& results)
{
    for (const double loss : {0.0, 0.05}) {
        const std::string percent = std::to_string(static_cast<int>(loss * 100));
        measurement spread{"whole fleet of real cores, loss " + percent + "%",
                           "log2(members)",
                           {"members", "median s", "worst s", "unreached", "bytes/s out",
                            "worst bytes/s out", "messages/s out", "false suspicions", "state B"}};
        for (const std::uint32_t members : sizes_of(absl::GetFlag(FLAGS_fleet))) {
            const spread_result run =
                run_spread(members, loss, absl::GetFlag(FLAGS_rounds), absl::GetFlag(FLAGS_seed));
            spread.add(std::log2(members),
                       {static_cast<double>(members), run.median_seconds, run.worst_seconds,
                        run.unreached, run.bytes_out, run.worst_bytes_out, run.messages_out,
                        run.false_suspicions, run.state_bytes});
        }
        results.push_back(spread);
    }
}

void measure_faults(std::vector<measurement>& results)
{
    measurement faults{"whole fleet of real cores, faults, loss 1%",
                       "members",
                       {"dead, domain s", "dead, all s", "cut median s", "cut worst s",
                        "cut deaths", "heal worst s", "join domain s", "join all s",
                        "join bytes/s in"}};
    constexpr double loss = 0.01;
    for (const std::uint32_t members : sizes_of(absl::GetFlag(FLAGS_fleet))) {
        const fault_result run = run_faults(members, loss, absl::GetFlag(FLAGS_seed));
        faults.add(members, {run.dead_own_domain, run.dead_everywhere, run.cut_median,
                             run.cut_worst, run.cut_deaths, run.heal_worst, run.join_own_domain,
                             run.join_complete, run.join_bytes_in});
    }
    results.push_back(faults);
}

int run()
{
    const std::string part = absl::GetFlag(FLAGS_part);
    std::vector<measurement> results;
    if (part == "all" || part == "gossip") {
        measure_gossip(results);
    }
    if (part == "all" || part == "homes") {
        measure_homes(results);
    }
    if (part == "all" || part == "spread") {
        measure_spread(results);
    }
    if (part == "all" || part == "faults") {
        measure_faults(results);
    }
    nlohmann::json figures = nlohmann::json::array();
    for (const measurement& item : results) {
        item.print(std::cout);
        figures.push_back(item.to_json());
    }
    if (const std::string path = absl::GetFlag(FLAGS_json); !path.empty()) {
        std::ofstream{path} << nlohmann::json{{"seed", absl::GetFlag(FLAGS_seed)},
                                              {"seconds", absl::GetFlag(FLAGS_seconds)},
                                              {"measurements", figures}}
                                   .dump(2)
                            << "\n";
    }
    return 0;
}

} // namespace
} // namespace gypsumstep::experiments

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    return gypsumstep::experiments::run();
}
