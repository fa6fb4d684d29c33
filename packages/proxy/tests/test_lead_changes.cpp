// Tests of changes of the primary where the platform does not stop the old one: at no time may two
// servers take writes that clients are told of.
#include "simulated_fleet.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::proxy::test;

namespace {

/// Cuts the primary off from the replicas, the store and the first \p daemons daemons.
void isolate_primary(simulated_fleet& fleet, std::size_t daemons)
{
    fleet.cut("s0", simulated_fleet::store_name);
    fleet.cut("s0", "s1");
    fleet.cut("s0", "s2");
    for (std::size_t index = 0; index < daemons; ++index) {
        fleet.cut("s0", "d" + std::to_string(index));
    }
}

void check_unbroken(const simulated_fleet& fleet)
{
    constexpr std::size_t most = 5;
    std::string text;
    for (std::size_t index = 0; index < std::min(fleet.violations.size(), most); ++index) {
        text += fleet.violations[index] + "\n";
    }
    INFO(text);
    CHECK(fleet.violations.empty());
}

} // namespace

TEST_CASE("a fleet without faults serves and orders no promotion")
{
    simulated_fleet fleet{5, 1};
    fleet.run(10s);
    CHECK(fleet.orders == 0);
    CHECK(fleet.acknowledged_since(time_point{101s}) > 200);
    check_unbroken(fleet);
}

TEST_CASE("a daemon that starts while the primary is cut off does not promote alone")
{
    simulated_fleet fleet{9, 1};
    fleet.run(3s);
    isolate_primary(fleet, 4);
    fleet.run(4s);
    // The primary's registration has lapsed; five daemons still use it.
    fleet.start_daemon("d9");
    fleet.run(1s);
    CHECK(fleet.orders == 0);
    fleet.run(10s);
    // By now the registration counts as gone for all, and the lead was handed over.
    CHECK(fleet.orders == 1);
    CHECK(fleet.newest_primary() != "s0");
    CHECK(fleet.acknowledged_since(fleet.now() - 3s) > 50);
    check_unbroken(fleet);
}

TEST_CASE("commits of a primary that only its replicas and some daemons reach are kept")
{
    simulated_fleet fleet{9, 2};
    fleet.run(3s);
    fleet.cut("s0", simulated_fleet::store_name);
    for (const char* daemon : {"d0", "d1", "d2"}) {
        fleet.cut("s0", daemon);
    }
    fleet.run(15s);
    CHECK(fleet.orders == 1);
    CHECK(fleet.lost_commits == 0);
    check_unbroken(fleet);
}

TEST_CASE("a crashed primary is replaced within three seconds")
{
    simulated_fleet fleet{9, 3};
    fleet.run(3s);
    fleet.crash_server("s0");
    fleet.run(3s);
    CHECK(fleet.orders == 1);
    const time_point replaced = fleet.now();
    fleet.run(2s);
    CHECK(fleet.acknowledged_since(replaced) > 50);
    // It comes back with its log, and does not lead again.
    fleet.restart_server("s0");
    fleet.run(5s);
    CHECK(fleet.newest_primary() != "s0");
    CHECK(fleet.orders == 1);
    check_unbroken(fleet);
}

TEST_CASE("a daemon that is cut off together with the primary stops to use it")
{
    simulated_fleet fleet{5, 4};
    fleet.run(3s);
    isolate_primary(fleet, 4);
    for (const char* other : {"d0", "d1", "d2", "d3", simulated_fleet::store_name}) {
        fleet.cut("d4", other);
    }
    fleet.run(10s);
    CHECK(fleet.orders >= 1);
    CHECK(fleet.newest_primary() != "s0");
    fleet.heal_all();
    fleet.run(5s);
    CHECK(fleet.acknowledged_since(fleet.now() - 2s) > 50);
    check_unbroken(fleet);
}

TEST_CASE("daemons that are cut off together with the primary stop to use it")
{
    // Those on the primary's side reach each other, but neither the store nor the others.
    for (const std::size_t on_its_side : {2U, 3U, 4U, 5U, 6U}) {
        constexpr std::size_t daemons = 9;
        INFO(on_its_side << " of " << daemons << " daemons on the primary's side");
        simulated_fleet fleet{daemons, 20 + on_its_side};
        fleet.run(3s);
        isolate_primary(fleet, daemons - on_its_side);
        for (std::size_t near = daemons - on_its_side; near < daemons; ++near) {
            fleet.cut("d" + std::to_string(near), simulated_fleet::store_name);
            for (std::size_t far = 0; far < daemons - on_its_side; ++far) {
                fleet.cut("d" + std::to_string(near), "d" + std::to_string(far));
            }
        }
        fleet.run(12s);
        check_unbroken(fleet);
        // The side that holds most daemons serves.
        CHECK(fleet.acknowledged_since(fleet.now() - 2s) > 50);
        fleet.heal_all();
        fleet.run(8s);
        CHECK(fleet.acknowledged_since(fleet.now() - 2s) > 100);
        // Those that return do not take their old list for a loss of the new primary.
        CHECK(fleet.orders == 1);
        check_unbroken(fleet);
    }
}

TEST_CASE("a suspended daemon does not use the old primary when it wakes up")
{
    simulated_fleet fleet{5, 5};
    fleet.run(3s);
    isolate_primary(fleet, 4);
    fleet.suspend("d4", 9s);
    fleet.run(15s);
    CHECK(fleet.orders >= 1);
    check_unbroken(fleet);
}

TEST_CASE("a claimant that is suspended before its order does not order with an old token")
{
    simulated_fleet fleet{5, 6};
    fleet.run(3s);
    std::size_t claims = 0;
    fleet.on_claim = [&] {
        // The first claim hands the lead over, the second one names the target.
        if (++claims == 2) {
            fleet.suspend(fleet.last_claimant, 6s);
        }
    };
    fleet.crash_server("s0");
    fleet.run(20s);
    CHECK(fleet.orders >= 1);
    CHECK_FALSE(fleet.newest_primary().empty());
    CHECK(fleet.acknowledged_since(fleet.now() - 2s) > 50);
    check_unbroken(fleet);
}

TEST_CASE("a claim whose holder is lost is taken over")
{
    simulated_fleet fleet{5, 7};
    fleet.run(3s);
    std::size_t claims = 0;
    fleet.on_claim = [&] {
        if (++claims == 1) {
            fleet.kill_daemon(fleet.last_claimant);
        }
    };
    fleet.crash_server("s0");
    fleet.run(15s);
    CHECK(fleet.orders >= 1);
    CHECK(fleet.acknowledged_since(fleet.now() - 2s) > 50);
    check_unbroken(fleet);
}

TEST_CASE("two daemons that start at once do not promote twice")
{
    simulated_fleet fleet{3, 8};
    fleet.run(3s);
    isolate_primary(fleet, 1);
    fleet.run(4s);
    fleet.start_daemon("d3");
    fleet.start_daemon("d4");
    fleet.run(15s);
    CHECK(fleet.orders <= 2);
    check_unbroken(fleet);
}

TEST_CASE("after a restart of all daemons a dead primary is replaced")
{
    simulated_fleet fleet{5, 9};
    fleet.run(3s);
    fleet.crash_server("s0");
    fleet.run(100ms);
    for (const char* daemon : {"d0", "d1", "d2", "d3", "d4"}) {
        fleet.start_daemon(daemon);
    }
    fleet.run(8s);
    CHECK(fleet.orders == 1);
    CHECK(fleet.acknowledged_since(fleet.now() - 2s) > 50);
    check_unbroken(fleet);
}

TEST_CASE("after a restart of all daemons an unlisted primary is demoted or waited out")
{
    simulated_fleet fleet{5, 10};
    fleet.run(3s);
    fleet.server_of("s0").unlisted = true;
    fleet.run(4s);
    for (const char* daemon : {"d0", "d1", "d2", "d3", "d4"}) {
        fleet.start_daemon(daemon);
    }
    fleet.run(12s);
    CHECK(fleet.orders == 1);
    CHECK(fleet.lost_commits == 0);
    check_unbroken(fleet);
}

TEST_CASE("after a restart of all daemons a primary whose registration lapsed is waited for")
{
    simulated_fleet fleet{5, 13};
    fleet.run(3s);
    fleet.store_down = true;
    fleet.run(5s);
    fleet.server_of("s0").unlisted = true;
    fleet.store_down = false;
    for (const char* daemon : {"d0", "d1", "d2", "d3", "d4"}) {
        fleet.start_daemon(daemon);
    }
    fleet.run(2s);
    fleet.server_of("s0").unlisted = false;
    fleet.run(8s);
    CHECK(fleet.orders == 0);
    CHECK(fleet.acknowledged_since(fleet.now() - 2s) > 50);
    check_unbroken(fleet);
}

TEST_CASE("an order that is carried out seconds late does no harm")
{
    simulated_fleet fleet{5, 11};
    fleet.run(3s);
    fleet.order_delay = 4s;
    fleet.crash_server("s0");
    fleet.run(4s);
    fleet.restart_server("s0");
    fleet.run(20s);
    CHECK(fleet.acknowledged_since(fleet.now() - 2s) > 50);
    check_unbroken(fleet);
}

TEST_CASE("writes go on while the store is away")
{
    simulated_fleet fleet{5, 12};
    fleet.run(3s);
    fleet.store_down = true;
    fleet.run(8s);
    CHECK(fleet.acknowledged_since(fleet.now() - 2s) > 50);
    fleet.store_down = false;
    fleet.run(6s);
    CHECK(fleet.acknowledged_since(fleet.now() - 2s) > 50);
    check_unbroken(fleet);
}

TEST_CASE("no fault makes two servers take acknowledged writes")
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        INFO("seed " << seed);
        random_source random{seed};
        const std::size_t daemons = 3 + random.below(6);
        simulated_fleet fleet{daemons, seed};
        const auto any_daemon = [&] { return "d" + std::to_string(random.below(daemons)); };
        const auto any_server = [&] { return "s" + std::to_string(random.below(3)); };
        fleet.run(2s);
        for (int fault = 0; fault < 10; ++fault) {
            switch (random.below(7)) {
            case 0:
                fleet.suspend(any_daemon(), random.between(200ms, 6s));
                break;
            case 1: {
                const std::string server = any_server();
                fleet.crash_server(server);
                fleet.run(random.between(100ms, 5s));
                fleet.restart_server(server);
                break;
            }
            case 2:
                fleet.cut(any_server(), simulated_fleet::store_name);
                break;
            case 3: {
                const std::string server = any_server();
                for (std::size_t index = random.below(daemons); index < daemons; ++index) {
                    fleet.cut(server, "d" + std::to_string(index));
                }
                break;
            }
            case 4:
                fleet.cut(any_daemon(), simulated_fleet::store_name);
                break;
            case 5:
                fleet.start_daemon(any_daemon());
                break;
            default: {
                const std::string server = any_server();
                for (const char* other : {"s0", "s1", "s2"}) {
                    fleet.cut(server, other);
                }
                break;
            }
            }
            fleet.run(random.between(100ms, 4s));
            if (random.chance(0.3)) {
                fleet.heal_all();
            }
        }
        fleet.heal_all();
        fleet.run(12s);
        CHECK(fleet.acknowledged_since(fleet.now() - 2s) > 0);
        check_unbroken(fleet);
    }
}
