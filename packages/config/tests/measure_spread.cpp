// Program measure-configuration: measures in virtual time how long a change takes to reach every
// daemon, and how much traffic it causes.
// Usage: measure-configuration DAEMONS CHANGES SEED
#include "fake_fleet.h"

#include <cstdio>
#include <cstdlib>
#include <numeric>

using namespace gypsumstep;
using namespace gypsumstep::config;

namespace {

constexpr std::uint16_t domains = 3;
constexpr double loss = 0.05;
constexpr duration settle_time{30'000'000};
constexpr duration partition_time{10'000'000};
constexpr double changes_per_day = 12'000;
constexpr duration cost_run_time{120'000'000};

struct scenario {
    const char* name;
    bool submitter_alive;
    bool outage;
    bool partitioned;
};

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

void measure(const scenario& conditions, std::size_t count, int changes, std::uint64_t seed)
{
    fake::fleet fleet{count, domains, seed, loss};
    fleet.change({{"n", 0}}, std::nullopt);
    fleet.run_for(2 * settle_time);
    std::vector<duration> all;
    for (int i = 1; i <= changes; ++i) {
        fleet.set_partitioned(conditions.partitioned);
        const auto submitter =
            conditions.submitter_alive ? std::optional<std::size_t>{1} : std::nullopt;
        fleet.change({{"n", i}}, submitter);
        fleet.store().conditions.down = conditions.outage;
        fleet.run_for(partition_time);
        fleet.set_partitioned(false);
        fleet.run_for(settle_time);
        fleet.store().conditions.down = false;
        fleet.run_for(duration{3'000'000});
        const auto times = fleet.times(static_cast<std::uint64_t>(i) + 1);
        all.insert(all.end(), times.begin(), times.end());
    }
    std::ranges::sort(all);
    std::printf("| %zu | %s | %.2f | %.2f | %.2f |\n", count, conditions.name,
                seconds(all[all.size() / 2]), seconds(all[all.size() * 99 / 100]),
                seconds(all.back()));
}

void measure_cost(std::size_t count, std::uint64_t seed)
{
    fake::fleet fleet{count, domains, seed, loss};
    fleet.change({{"n", 0}}, std::nullopt);
    fleet.run_for(2 * settle_time);
    const auto before = fleet.bytes();
    const auto requests = fleet.store().requests();
    const duration interval{static_cast<duration::rep>(86'400e6 / changes_per_day)};
    const time_point end = fleet.now() + cost_run_time;
    const time_point start = fleet.now();
    for (int i = 1; fleet.now() < end; ++i) {
        fleet.change({{"server-" + std::to_string(i % 100), {{"leaving", i % 2 == 0}}}}, 1);
        fleet.run_for(interval);
    }
    const double time = seconds(fleet.now() - start);
    std::vector<double> rates;
    for (std::size_t i = 0; i < count; ++i) {
        rates.push_back(static_cast<double>(fleet.bytes()[i] - before[i]) / time);
    }
    std::printf("| %zu | %.0f | %.0f | %.1f |\n", count,
                std::accumulate(rates.begin(), rates.end(), 0.0) / static_cast<double>(count),
                *std::ranges::max_element(rates),
                static_cast<double>(fleet.store().requests() - requests) / time);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4) {
        std::fprintf(stderr, "usage: %s DAEMONS CHANGES SEED\n", argv[0]);
        return 2;
    }
    const auto count = static_cast<std::size_t>(std::atoi(argv[1]));
    const int changes = std::atoi(argv[2]);
    const auto seed = static_cast<std::uint64_t>(std::atoi(argv[3]));
    std::printf(
        "| daemons | case | median s | p99 s | worst s |\n| --- | --- | --- | --- | --- |\n");
    for (const scenario& conditions : {scenario{"submitter tells", true, false, false},
                                       scenario{"submitter gone", false, false, false},
                                       scenario{"platform down right after", true, true, false},
                                       scenario{"domain cut for 10 s", true, false, true}}) {
        measure(conditions, count, changes, seed);
    }
    std::printf("\n| daemons | mean bytes/s | most bytes/s | platform requests/s |\n"
                "| --- | --- | --- | --- |\n");
    measure_cost(count, seed);
    return 0;
}
