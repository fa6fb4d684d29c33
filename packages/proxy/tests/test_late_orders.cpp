// Tests of promotions where the platform refuses old tokens, but may carry out an order seconds
// after it left it unanswered.
#include "simulated_fleet.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::proxy::test;

namespace {

constexpr std::size_t daemon_count = 4;

fleet_rules rules_with(std::uint32_t sync_replicas, double late_orders)
{
    fleet_rules rules;
    rules.old_primary_stops = true;
    rules.sync_replicas = sync_replicas;
    rules.late_orders = late_orders;
    return rules;
}

/// Isolates the primary until an order was sent and for \p longer, and lets it return.
void isolate_primary_until_order(simulated_fleet& fleet, duration longer)
{
    const std::size_t orders = fleet.orders;
    fleet.isolate(fleet.newest_primary());
    for (int step = 0; step < 600 && fleet.orders == orders; ++step) {
        fleet.run(10ms);
    }
    fleet.run(longer);
    fleet.heal_all();
}

void check_unbroken(const simulated_fleet& fleet)
{
    INFO((fleet.violations.empty() ? std::string{} : fleet.violations.front()));
    CHECK(fleet.violations.empty());
}

/// Runs until nothing is left to settle, and checks that the group serves again.
void check_recovers(simulated_fleet& fleet)
{
    fleet.run(20s);
    CHECK(fleet.is_settled());
    CHECK(fleet.acknowledged_since(fleet.now() - 2s) > 0);
    check_unbroken(fleet);
}

} // namespace

TEST_CASE("a fenced fleet without faults serves, orders nothing and pauses nothing")
{
    for (const std::uint32_t sync_replicas : {0U, 1U}) {
        simulated_fleet fleet{daemon_count, 1, 3, rules_with(sync_replicas, 0.0)};
        fleet.run(10s);
        CHECK(fleet.orders == 0);
        CHECK_FALSE(fleet.claim);
        CHECK(fleet.acknowledged_since(time_point{101s}) > 100);
        check_unbroken(fleet);
    }
}

// LOST: the replicas were resumed while an order that had got no answer could still be carried out.
TEST_CASE("a late order takes no acknowledged commit of a primary that has returned")
{
    std::size_t unanswered = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        INFO("seed " << seed);
        simulated_fleet fleet{daemon_count, seed, 3, rules_with(1, 0.5)};
        fleet.run(2s);
        for (int round = 0; round < 3; ++round) {
            isolate_primary_until_order(fleet, 300ms);
            fleet.run(16s);
        }
        unanswered += fleet.orders > fleet.promotions ? 1 : 0;
        check_recovers(fleet);
    }
    CHECK(unanswered > 10);
}

// Without synchronous replicas no rule counts it, but a caller's commit was gone all the same.
TEST_CASE("an order that is made void in time rolls no commit back")
{
    std::size_t kept = 0;
    constexpr std::uint64_t seeds = 40;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        INFO("seed " << seed);
        simulated_fleet fleet{daemon_count, seed, 3, rules_with(0, 1.0)};
        fleet.run(2s);
        const std::string primary = fleet.newest_primary();
        isolate_primary_until_order(fleet, 100ms);
        fleet.set_late_orders(0.0);
        fleet.run(15s);
        kept += fleet.newest_primary() == primary && fleet.promotions == 0 ? 1 : 0;
        check_recovers(fleet);
    }
    CHECK(kept == seeds);
}

// LOST: nobody settled the order of a daemon that was lost, nor ended its pause.
TEST_CASE("the order and the pauses of a daemon that is killed or suspended are settled by others")
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        INFO("seed " << seed);
        random_source random{seed};
        simulated_fleet fleet{daemon_count, seed, 3, rules_with(1, seed % 3 == 0 ? 0.0 : 0.7)};
        fleet.run(2s);
        // After the claim, with and without a target, or just after the order.
        const std::size_t claims = 1 + random.below(2);
        const bool is_killed = random.chance(0.5);
        std::size_t written = 0;
        std::string claimant;
        fleet.on_claim = [&] {
            if (++written == claims) {
                claimant = fleet.last_claimant;
            }
        };
        fleet.isolate("s0");
        for (int step = 0; step < 600 && claimant.empty(); ++step) {
            fleet.run(10ms);
        }
        REQUIRE_FALSE(claimant.empty());
        fleet.run(random.between(duration{0}, 200ms));
        if (is_killed) {
            fleet.kill_daemon(claimant);
        }
        else {
            fleet.suspend(claimant, random.between(3s, 9s));
        }
        fleet.heal_all();
        fleet.run(random.between(duration{0}, 8s));
        if (is_killed && random.chance(0.5)) {
            fleet.start_daemon(claimant);
        }
        check_recovers(fleet);
    }
}

TEST_CASE("after a kill of all daemons the next ones settle what is left")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        simulated_fleet fleet{daemon_count, seed, 3, rules_with(1, 1.0)};
        fleet.run(2s);
        isolate_primary_until_order(fleet, 20ms);
        fleet.set_late_orders(0.3);
        for (std::size_t index = 0; index < daemon_count; ++index) {
            fleet.kill_daemon("d" + std::to_string(index));
        }
        for (std::size_t index = 0; index < daemon_count; ++index) {
            fleet.start_daemon("d" + std::to_string(index));
        }
        check_recovers(fleet);
    }
}

TEST_CASE("a planned replacement whose order is late loses nothing")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        simulated_fleet fleet{daemon_count, seed, 3, rules_with(seed % 2 == 0 ? 1U : 0U, 0.6)};
        fleet.run(2s);
        fleet.server_of("s0").draining = true;
        fleet.run(16s);
        CHECK(fleet.newest_primary() != "s0");
        CHECK(fleet.lost_commits == 0);
        check_recovers(fleet);
    }
}

TEST_CASE("late orders and claims, lost commands and faults of daemons take no acknowledged commit")
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        INFO("seed " << seed);
        random_source random{seed};
        fleet_rules rules = rules_with(1, 0.4);
        rules.late_claims = 0.2;
        rules.lost_resumes = 0.2;
        simulated_fleet fleet{daemon_count, seed, 3, rules};
        const auto any_daemon = [&] { return "d" + std::to_string(random.below(daemon_count)); };
        fleet.run(2s);
        for (int fault = 0; fault < 10; ++fault) {
            switch (random.below(6)) {
            case 0:
                fleet.suspend(any_daemon(), random.between(200ms, 6s));
                break;
            case 1:
                fleet.start_daemon(any_daemon());
                break;
            case 2:
                fleet.cut(any_daemon(), simulated_fleet::store_name);
                break;
            case 3:
                fleet.store_down = !fleet.store_down;
                break;
            default:
                isolate_primary_until_order(fleet, random.between(duration{0}, 3s));
                break;
            }
            fleet.run(random.between(100ms, 4s));
            if (random.chance(0.3)) {
                fleet.heal_all();
            }
        }
        fleet.heal_all();
        fleet.store_down = false;
        fleet.run(15s);
        check_recovers(fleet);
    }
}
