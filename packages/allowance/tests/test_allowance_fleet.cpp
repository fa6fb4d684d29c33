// Plays the limit of accounts over many daemons: floods, partitions, restarts, differing lists.
#include "simulated_daemons.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <set>
#include <utility>

using namespace gypsumstep;
using namespace gypsumstep::allowance;
using namespace gypsumstep::allowance::test;

namespace {

constexpr std::size_t daemon_count = 80;

/// The largest account: a limit of 1.6 times its usual use.
constexpr double usual_use = 200;
const account_limit large{1.6 * usual_use, 1.6 * usual_use};

/// The most operations that the specification allows in a window.
std::size_t allowed(const account_limit& limit)
{
    const terms bound;
    const double seconds = std::chrono::duration<double>{bound.window}.count();
    return static_cast<std::size_t>(std::floor(
        (limit.rate_per_second * seconds + limit.burst) * (1 + bound.overage) + bound.slack));
}

std::function<std::size_t()> any_daemon(simulated_daemons& fleet)
{
    return [&fleet] { return fleet.random().below(fleet.size()); };
}

void start_all(simulated_daemons& fleet, duration spread)
{
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        fleet.at(fleet.random().between(duration{0}, spread),
                 [&fleet, index] { fleet.start(index); });
    }
}

} // namespace

// Guards against a flood of one account that exceeds its limit, is served far below it, or delays
// the other accounts.
TEST_CASE("one account at eight times its usual use over 80 daemons")
{
    account_limits limits{{"flood", large}};
    for (int place = 2; place <= 84; ++place) {
        const double use = usual_use / std::pow(place, 1.2);
        limits["small-" + std::to_string(place)] = {1.6 * use, 1.6 * use};
    }
    simulated_daemons fleet{daemon_count, limits, 11};
    start_all(fleet, 200ms);
    fleet.schedule_demand("flood", usual_use, 1s, 6s, any_daemon(fleet));
    fleet.schedule_demand("flood", 8 * usual_use, 6s, 16s, any_daemon(fleet));
    fleet.schedule_demand("flood", usual_use, 16s, 26s, any_daemon(fleet));
    for (const auto& [name, limit] : limits) {
        if (name != "flood") {
            fleet.schedule_demand(name, limit.rate_per_second / 1.6, 1s, 26s, any_daemon(fleet));
        }
    }
    fleet.run_until(6s);
    const std::size_t usual_datagrams = fleet.datagrams;
    const std::size_t usual_between_regions = fleet.datagrams_between_regions;
    fleet.run_until(16s);
    const std::size_t flood_datagrams = fleet.datagrams - usual_datagrams;
    const std::size_t flood_between_regions =
        fleet.datagrams_between_regions - usual_between_regions;
    fleet.run_until(27s);
    INFO("datagrams a second: usual "
         << usual_datagrams / 5 << ", between regions " << usual_between_regions / 5 << "; flood "
         << flood_datagrams / 10 << ", between regions " << flood_between_regions / 10);
    CHECK(fleet.most_in_window("flood") <= allowed(large));
    const auto before = fleet.summarize("flood", 1s, 6s);
    CHECK(before.refused == 0);
    CHECK(before.longest_wait <= 100ms);
    const auto during = fleet.summarize("flood", 6s, 16s);
    CHECK(during.ran >= 10 * large.rate_per_second * 0.95);
    CHECK(during.longest_wait <= 900ms);
    for (const operation_record& record : fleet.records.at("flood")) {
        CHECK((record.ran_at || record.retry_after > duration{0}));
    }
    const auto after = fleet.summarize("flood", 17s, 26s);
    CHECK(after.refused == 0);
    CHECK(after.longest_wait <= 200ms);
    std::size_t others = 0;
    std::size_t others_refused = 0;
    for (const auto& [name, limit] : limits) {
        if (name != "flood") {
            CHECK(fleet.most_in_window(name) <= allowed(limit));
            others += fleet.summarize(name, 1s, 26s).ran;
            others_refused += fleet.refused_below_limit(name, limit, 1s, 26s);
        }
    }
    INFO("other accounts: " << others << " ran, " << others_refused
                            << " refused below their limits");
    CHECK(others_refused == 0);
}

// Guards against a limit that is granted once on each side of a partition.
TEST_CASE("a partition with keepers on both sides")
{
    for (const bool flooded : {false, true}) {
        CAPTURE(flooded);
        simulated_daemons fleet{daemon_count, {{"large", large}}, 12};
        start_all(fleet, 200ms);
        fleet.schedule_demand("large", usual_use, 1s, 6'500ms, any_daemon(fleet));
        fleet.schedule_demand("large", usual_use * (flooded ? 8 : 1), 6'500ms, 25s,
                              any_daemon(fleet));
        fleet.at(6s, [&fleet] {
            fleet.is_connected = [](const std::string& from, const std::string& to) {
                return (regions.at(from) == "a") == (regions.at(to) == "a");
            };
        });
        fleet.at(18s, [&fleet] { fleet.is_connected = [](auto&&, auto&&) { return true; }; });
        fleet.run_until(27s);
        CHECK(fleet.most_in_window("large") <= allowed(large));
        if (flooded) {
            CHECK(fleet.summarize("large", 6s, 18s).ran >= 12 * large.rate_per_second * 0.95);
        }
        else {
            CHECK(fleet.summarize("large", 1s, 25s).refused == 0);
        }
    }
}

// Guards against the loss of keepers that refuses or delays usual demand, or is made good twice.
TEST_CASE("keepers lost in two domains of different regions")
{
    for (const double factor : {1.0, 8.0}) {
        CAPTURE(factor);
        simulated_daemons fleet{daemon_count, {{"large", large}}, 17};
        start_all(fleet, 200ms);
        fleet.schedule_demand("large", usual_use, 1s, 6s, any_daemon(fleet));
        fleet.schedule_demand("large", usual_use * factor, 6s, 25s, any_daemon(fleet));
        fleet.at(6s, [&fleet] {
            for (std::size_t index = 0; index < fleet.size(); ++index) {
                const homes::daemon_entry& entry = fleet.at_index(index).entry;
                if ((entry.domain == "a1" || entry.domain == "b2") &&
                    fleet.at_index(index).node->part() > 0) {
                    fleet.stop(index);
                }
            }
        });
        // The list drops them, and others take their slots over.
        fleet.at(15s, [&fleet] {
            auto list = fleet.all();
            std::erase_if(list, [&](const homes::daemon_entry& entry) {
                for (std::size_t index = 0; index < fleet.size(); ++index) {
                    if (fleet.at_index(index).entry.name == entry.name) {
                        return fleet.at_index(index).node == nullptr;
                    }
                }
                return false;
            });
            for (std::size_t index = 0; index < fleet.size(); ++index) {
                fleet.set_list(index, list);
            }
        });
        fleet.run_until(27s);
        CHECK(fleet.most_in_window("large") <= allowed(large));
        if (factor == 1.0) {
            CHECK(fleet.summarize("large", 1s, 25s).refused == 0);
            CHECK(fleet.summarize("large", 1s, 25s).longest_wait <= 400ms);
        }
        else {
            CHECK(fleet.summarize("large", 7s, 15s).ran >=
                  8 * large.rate_per_second * 4 / 6 * 0.95);
        }
    }
}

// Guards against daemons that grant a burst again after each restart, and against demand below the
// limit that is refused after it.
TEST_CASE("restarts of all daemons, also twice in one window")
{
    for (const duration second : {duration{20s}, duration{6'300ms}, duration{8s}, duration{10s}}) {
        for (const bool flooded : {false, true}) {
            CAPTURE(second.count(), flooded);
            simulated_daemons fleet{daemon_count, {{"large", large}, {"small", {2, 2}}}, 13};
            start_all(fleet, 100ms);
            const double factor = flooded ? 8 : 1;
            fleet.schedule_demand("large", usual_use * factor, 5s, 26s, any_daemon(fleet));
            // Enough that each start's tokens are used up at once.
            fleet.schedule_demand("small", 1.25 * factor * factor, 5s, 26s, any_daemon(fleet));
            for (const duration restart : {duration{6s}, second}) {
                fleet.at(restart, [&fleet, restart] {
                    for (std::size_t index = 0; index < fleet.size(); ++index) {
                        fleet.stop(index);
                        fleet.at(restart + fleet.random().between(1ms, 250ms),
                                 [&fleet, index] { fleet.start(index); });
                    }
                });
            }
            fleet.run_until(27s);
            CHECK(fleet.most_in_window("large") <= allowed(large));
            CHECK(fleet.most_in_window("small") <= allowed({2, 2}));
            if (!flooded) {
                CHECK(fleet.summarize("large", 6s, 26s).refused == 0);
                CHECK(fleet.summarize("small", 6s, 26s).refused == 0);
            }
        }
    }
}

// Guards against two keepers for one part: daemons know different daemons at their first start,
// and a keeper that is missing in the lists of others goes on.
TEST_CASE("daemons with different lists")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        CAPTURE(seed);
        simulated_daemons fleet{daemon_count, {{"large", large}}, seed};
        // Each daemon knows those that were announced before it.
        for (std::size_t place = 0; place < fleet.size(); ++place) {
            const std::size_t index = (place * 37 + seed) % fleet.size();
            fleet.at(place * 10ms, [&fleet, index, known = std::make_shared<int>(0)] {
                std::vector<homes::daemon_entry> list;
                for (std::size_t other = 0; other < fleet.size(); ++other) {
                    if (other == index || fleet.at_index(other).node) {
                        list.push_back(fleet.at_index(other).entry);
                    }
                }
                fleet.set_list(index, list);
                fleet.start(index);
            });
            fleet.at(5s + place * 10ms, [&fleet, index] { fleet.set_list(index, fleet.all()); });
        }
        // Floods while the lists differ: at the start, and later with full buckets.
        fleet.schedule_demand("large", usual_use * 8, 1ms, 6s, any_daemon(fleet));
        fleet.schedule_demand("large", usual_use, 6s, 15s, any_daemon(fleet));
        fleet.schedule_demand("large", usual_use * 8, 15s, 30s, any_daemon(fleet));
        // Later, every other daemon misses some larger daemons, for example the keepers.
        fleet.at(14s, [&fleet] {
            for (std::size_t index = 0; index < fleet.size(); index += 2) {
                auto list = fleet.all();
                std::erase_if(list, [&](const homes::daemon_entry& entry) {
                    return entry.capacity == 500 && entry.name != fleet.at_index(index).entry.name;
                });
                fleet.set_list(index, list);
            }
        });
        fleet.run_until(31s);
        CHECK(fleet.most_in_window("large") <= allowed(large));
        CHECK(fleet.summarize("large", 8s, 14s).refused == 0);
    }
}

// Guards against a keeper that is cut off from its own domain and goes on beside its successor.
TEST_CASE("a keeper cut off from its domain")
{
    simulated_daemons fleet{daemon_count, {{"large", large}}, 15};
    start_all(fleet, 200ms);
    fleet.schedule_demand("large", usual_use, 1s, 12s, any_daemon(fleet));
    fleet.schedule_demand("large", usual_use * 8, 12s, 30s, any_daemon(fleet));
    // No datagram passes inside a1. Half of its daemons miss the keeper in their lists.
    fleet.at(8s, [&fleet] {
        fleet.is_connected = [](const std::string& from, const std::string& to) {
            return from != "a1" || to != "a1";
        };
        std::string keeper;
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            if (fleet.at_index(index).entry.domain == "a1" &&
                fleet.at_index(index).node->part() > 0) {
                keeper = fleet.at_index(index).entry.name;
            }
        }
        auto list = fleet.all();
        std::erase_if(list, [&](const homes::daemon_entry& entry) { return entry.name == keeper; });
        for (std::size_t index = 0; index < fleet.size(); index += 2) {
            if (fleet.at_index(index).entry.name != keeper) {
                fleet.set_list(index, list);
            }
        }
    });
    fleet.run_until(31s);
    CHECK(fleet.most_in_window("large") <= allowed(large));
}

// Guards against tokens of an old, higher limit that are used after the new one is binding.
TEST_CASE("a lowered limit")
{
    const account_limit lowered{60, 60};
    simulated_daemons fleet{daemon_count, {{"large", large}}, 16};
    start_all(fleet, 200ms);
    fleet.schedule_demand("large", usual_use * 8, 1s, 10s, any_daemon(fleet));
    fleet.schedule_demand("large", 37, 10s, 15s, any_daemon(fleet));
    fleet.schedule_demand("large", usual_use * 8, 15s, 30s, any_daemon(fleet));
    // Each daemon applies the configuration at its own time, within 6 s.
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        fleet.at(10s + fleet.random().between(duration{0}, 6s), [&fleet, index, lowered] {
            fleet.set_limits(index, {{"large", lowered}});
        });
    }
    fleet.run_until(31s);
    CHECK(fleet.most_in_window("large") <= allowed(large));
    CHECK(fleet.most_in_window("large", 16s) <= allowed(lowered));
    CHECK(fleet.summarize("large", 17s, 30s).ran >= 13 * lowered.rate_per_second * 0.95);
}

// Guards against small accounts whose tokens are stuck in the stock of one daemon or as parts in
// several buckets: all sessions in one region, use up to the limit, from the start on.
TEST_CASE("a small account on five daemons of one region")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        simulated_daemons fleet{daemon_count, {{"small", {2, 2}}}, seed};
        start_all(fleet, 100ms);
        std::vector<std::size_t> sessions;
        for (std::size_t index = 0; sessions.size() < 5; ++index) {
            if (regions.at(fleet.at_index(index).entry.domain) == "a") {
                sessions.push_back(index);
            }
        }
        // Two at once after the start, then two a second with pauses that let a burst follow.
        duration time = 700ms;
        for (int count = 0; count < 150; ++count) {
            const auto session = sessions[fleet.random().below(sessions.size())];
            const bool pause = count % 20 == 0;
            fleet.at(time, [&fleet, session] { fleet.operate(session, "small"); });
            if (pause) {
                fleet.at(time, [&fleet, session] { fleet.operate(session, "small"); });
            }
            time += count % 20 == 19 ? 2s : 500ms;
        }
        fleet.run_until(100s);
        CHECK(fleet.most_in_window("small") <= allowed({2, 2}));
        const auto numbers = fleet.summarize("small", 0s, 100s);
        CHECK(numbers.refused == 0);
        CHECK(numbers.longest_wait <= 200ms);
    }
}

// Guards against combinations of faults that the cases above do not play: restarts of all daemons
// or of all keepers, twice within a window at most, partitions, and lists that miss daemons.
TEST_CASE("random faults and floods")
{
    const account_limits limits{{"large", large}, {"middle", {12, 12}}, {"small", {2, 2}}};
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        CAPTURE(seed);
        simulated_daemons fleet{daemon_count, limits, seed};
        random_source random{seed};
        start_all(fleet, 300ms);
        for (duration from = 500ms; from < 30s;) {
            const duration to = from + random.between(500ms, 6s);
            const bool flooded = random.chance(0.6);
            for (const auto& [name, limit] : limits) {
                const double per_second = limit.rate_per_second * (flooded ? 10 : 0.6);
                fleet.schedule_demand(name, per_second, from, to, any_daemon(fleet));
            }
            from = to;
        }
        duration last = -10s;
        duration before_last = -10s;
        for (duration time = 2s; time < 30s; time += random.between(100ms, 3s)) {
            if (time - before_last < 5'400ms) {
                continue;
            }
            before_last = std::exchange(last, time);
            const bool all = random.chance(0.5);
            fleet.at(time, [&fleet, &random, all, time] {
                for (std::size_t index = 0; index < fleet.size(); ++index) {
                    const auto& node = fleet.at_index(index).node;
                    if (node && (all || node->part() > 0)) {
                        fleet.stop(index);
                        fleet.at(time + random.between(20ms, 300ms),
                                 [&fleet, index] { fleet.start(index); });
                    }
                }
            });
        }
        std::set<std::pair<std::string, std::string>> cut;
        fleet.is_connected = [&cut](const std::string& from, const std::string& to) {
            return from == to || !cut.contains(std::minmax(from, to));
        };
        for (duration time = 1s; time < 30s; time += random.between(500ms, 4s)) {
            fleet.at(time, [&cut, &random] {
                cut.clear();
                for (auto one = regions.begin(); one != regions.end(); ++one) {
                    for (auto other = std::next(one); other != regions.end(); ++other) {
                        if (random.chance(0.25)) {
                            cut.insert({one->first, other->first});
                        }
                    }
                }
            });
        }
        for (int count = 0; count < 60; ++count) {
            fleet.at(random.between(1s, 30s), [&fleet, &random] {
                const std::size_t index = random.below(fleet.size());
                auto list = fleet.all();
                std::erase_if(list, [&](const homes::daemon_entry& entry) {
                    return entry.name != fleet.at_index(index).entry.name && random.chance(0.3);
                });
                fleet.set_list(index, std::move(list));
            });
        }
        fleet.run_until(32s);
        for (const auto& [name, limit] : limits) {
            CAPTURE(name);
            CHECK(fleet.most_in_window(name) <= allowed(limit));
        }
    }
}
