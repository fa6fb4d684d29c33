// Measures failovers in virtual time: failover_gaps [--seeds=N]; prints JSON lines.
#include "gypsumstep/consistency/runs.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

ABSL_FLAG(std::uint64_t, seeds, 200, "runs of each kind");

using namespace gypsumstep;
using namespace gypsumstep::consistency;

namespace {

template <class Measure>
void print(const std::string& name, const Measure& measure)
{
    std::vector<double> gaps;
    std::uint64_t without = 0;
    for (std::uint64_t seed = 1; seed <= absl::GetFlag(FLAGS_seeds); ++seed) {
        const std::optional<duration> gap = measure(seed);
        gap ? gaps.push_back(static_cast<double>(gap->count()) / 1e6) : void(++without);
    }
    std::sort(gaps.begin(), gaps.end());
    nlohmann::ordered_json line{
        {"case", name}, {"runs", absl::GetFlag(FLAGS_seeds)}, {"no_failover", without}};
    if (!gaps.empty()) {
        line["median_s"] = gaps[gaps.size() / 2];
        line["p99_s"] = gaps[gaps.size() * 99 / 100];
        line["worst_s"] = gaps.back();
    }
    std::cout << line.dump() << std::endl;
}

void print_failovers()
{
    using failover::platform_policy;
    for (const auto kind :
         {fault_kind::kill_server, fault_kind::freeze_server, fault_kind::cut_domain}) {
        const std::string name = to_string(fault{kind, {}, {}, 0, 0});
        const std::string word = name.substr(0, name.find(' '));
        print(word + ", platform up", [&](auto seed) { return write_gap(seed, {kind, {}, {}}); });
        for (const auto platform : {fault_kind::platform_down, fault_kind::platform_slow}) {
            std::string prefix = word;
            prefix += platform == fault_kind::platform_down ? ", platform down" : ", platform slow";
            print(prefix + ", by grants", [&](auto seed) {
                return write_gap(seed, {kind, platform, platform_policy::proceed_by_grants});
            });
            print(prefix + ", waiting", [&](auto seed) {
                return write_gap(seed, {kind, platform, platform_policy::wait});
            });
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    print("hand_over", [](auto seed) { return hand_over_gap(seed); });
    std::uint64_t needless = 0;
    constexpr std::uint64_t lossy_runs = 10;
    for (std::uint64_t seed = 1; seed <= lossy_runs; ++seed) {
        needless += primaries_of_lossy_run(seed) - 1;
    }
    std::cout << nlohmann::ordered_json{{"case", "5% loss, 200 ms pauses"},
                                        {"runs", lossy_runs},
                                        {"seconds_each", 120},
                                        {"needless_failovers", needless}}
                     .dump()
              << std::endl;
    print_failovers();
    return 0;
}
