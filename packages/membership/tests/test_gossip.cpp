// Runs of many membership cores with loss, deaths, restarts and cut domains.
#include "gossip_fleet.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::membership;
using test::address_of;
using test::gossip_fleet;

namespace {

constexpr sim::link_conditions clean{.delay_low = 500us, .delay_high = 20ms};
constexpr sim::link_conditions lossy{.delay_low = 500us, .delay_high = 20ms, .loss = 0.05};

payload config_head(std::uint64_t version)
{
    return {"config/head", version, payload_retention::latest, "patch"};
}

bool knows_all(const gossip_member& core, std::uint32_t members)
{
    std::uint32_t alive = 0;
    for (const member_view& view : core.members()) {
        alive += view.record.status == member_status::alive && view.reachable ? 1 : 0;
    }
    return alive == members;
}

} // namespace

TEST_CASE("daemons that know one seed find each other")
{
    constexpr std::uint32_t size = 40;
    gossip_fleet fleet{1, 4, lossy};
    for (std::uint32_t number = 0; number < size; ++number) {
        fleet.start(number, 1, {address_of(0)});
    }
    fleet.run_for(60s);
    CHECK(fleet.count([](const auto& core) { return knows_all(core, size); }) == size);
}

TEST_CASE("a dead member is declared dead everywhere, a running one is not")
{
    constexpr std::uint32_t size = 60;
    gossip_fleet fleet{2, 3, lossy};
    fleet.start_joined(size);
    fleet.run_for(10s);
    fleet.kill(7);
    fleet.run_for(15s);
    for (std::uint32_t viewer = 0; viewer < size; ++viewer) {
        if (viewer != 7) {
            CHECK(fleet.status(viewer, 7) == member_status::dead);
        }
    }
    fleet.run_for(300s);
    CHECK(fleet.count([](const auto& core) { return knows_all(core, size - 1); }) == size - 1);
}

TEST_CASE("a restarted daemon is alive again under a higher incarnation")
{
    gossip_fleet fleet{3, 3, lossy};
    fleet.start_joined(30);
    fleet.kill(5);
    fleet.run_for(20s);
    // The lowest incarnation possible, as if the VM's clock were wrong.
    fleet.start(5, 0, {address_of(0)});
    fleet.run_for(30s);
    CHECK(fleet.count([](const auto& core) { return knows_all(core, 30); }) == 30);
    CHECK(fleet.core(5).self().incarnation > 1);
}

TEST_CASE("a member that leaves is never suspected")
{
    gossip_fleet fleet{4, 3, lossy};
    fleet.start_joined(30);
    bool suspected = false;
    fleet.observe([&](std::uint32_t, const action& item) {
        const auto* change = std::get_if<member_changed>(&item);
        suspected = suspected || (change != nullptr && change->record.address == address_of(9) &&
                                  change->record.status == member_status::suspect);
    });
    fleet.run_for(5s);
    fleet.give(9, leave{});
    fleet.run_for(500ms);
    fleet.kill(9);
    fleet.run_for(20s);
    CHECK(fleet.status(0, 9) == member_status::left);
    CHECK(fleet.count([](const auto& core) { return knows_all(core, 29); }) == 29);
    CHECK_FALSE(suspected);
}

TEST_CASE("a domain that is cut off is unreachable, not dead, and returns whole")
{
    constexpr std::uint32_t size = 60;
    gossip_fleet fleet{5, 3, lossy};
    fleet.start_joined(size);
    fleet.run_for(10s);
    std::uint32_t deaths = 0;
    fleet.observe([&](std::uint32_t, const action& item) {
        const auto* change = std::get_if<member_changed>(&item);
        deaths += change != nullptr && change->record.status == member_status::dead ? 1 : 0;
    });
    fleet.partition([](std::uint32_t number) { return number % 3 == 1; });
    // The first member that notices has the others of its domain look as well.
    fleet.run_for(45s);
    CHECK(deaths == 0);
    CHECK(fleet.count([](const auto& core) { return core.is_reachable(domain_id{1}); }) == 20);
    CHECK_FALSE(fleet.core(0).find(address_of(1))->reachable);
    // News on either side of the cut meets when it heals.
    fleet.give(1, publish{config_head(8)});
    fleet.give(0, publish{{"primary/3", 4, payload_retention::latest, "server 9"}});
    fleet.run_for(60s);
    fleet.network().heal_all();
    fleet.run_for(45s);
    CHECK(fleet.count([](const auto& core) { return knows_all(core, size); }) == size);
    CHECK(fleet.count([](const auto& core) { return core.latest("config/head").has_value(); }) ==
          size);
    CHECK(fleet.count([](const auto& core) { return core.latest("primary/3").has_value(); }) ==
          size);
}

TEST_CASE("a daemon that hears nobody suspects nobody")
{
    gossip_fleet fleet{6, 2, clean};
    fleet.start_joined(20);
    fleet.partition([](std::uint32_t number) { return number == 4; });
    fleet.run_for(30s);
    CHECK_FALSE(fleet.core(4).is_reachable(domain_id{0}));
    CHECK(fleet.status(4, 6) == member_status::alive);
    CHECK(fleet.status(0, 4) == member_status::dead);
    fleet.network().heal_all();
    fleet.run_for(30s);
    CHECK(fleet.count([](const auto& core) { return knows_all(core, 20); }) == 20);
}

TEST_CASE("a payload reaches every member, newest version last")
{
    constexpr std::uint32_t size = 100;
    gossip_fleet fleet{7, 5, lossy};
    fleet.start_joined(size);
    fleet.run_for(10s);
    for (std::uint64_t version = 1; version <= 20; ++version) {
        fleet.give(static_cast<std::uint32_t>(version), publish{config_head(version)});
    }
    fleet.run_for(8s);
    CHECK(fleet.count([](const auto& core) {
        const auto head = core.latest("config/head");
        return head && head->version == 20;
    }) == size);
}

TEST_CASE("a daemon that joins later gets the payloads that are kept")
{
    gossip_fleet fleet{8, 3, clean};
    fleet.start_joined(10);
    fleet.give(0, publish{config_head(3)});
    fleet.give(0, publish{{"delta", 1, payload_retention::transient, "x"}});
    fleet.run_for(30s);
    fleet.start(10, 1, {address_of(2)});
    fleet.run_for(20s);
    REQUIRE(fleet.core(10).latest("config/head").has_value());
    CHECK(fleet.core(10).latest("config/head")->version == 3);
    CHECK_FALSE(fleet.core(10).latest("delta").has_value());
}

TEST_CASE("a flood of payloads keeps to the byte budget and still gets through")
{
    constexpr std::uint32_t size = 50;
    const gossip_settings settings;
    gossip_fleet fleet{9, 5, clean, settings};
    fleet.start_joined(size);
    fleet.run_for(20s);
    const std::uint64_t before = fleet.core(3).counters().bytes_out;
    for (std::uint64_t key = 0; key < 200; ++key) {
        const std::string body(max_payload_body, 'x');
        const payload value{"key/" + std::to_string(key), 1, payload_retention::latest, body};
        fleet.give(static_cast<std::uint32_t>(key % size), publish{value});
    }
    fleet.run_for(200s);
    const auto sent = static_cast<double>(fleet.core(3).counters().bytes_out - before);
    // Answers to probes are never held back; they are the excess allowed here.
    CHECK(sent / 200.0 < 1.25 * settings.budget_bytes_per_second);
    fleet.run_for(600s);
    CHECK(fleet.count([](const auto& core) {
        return core.latest("key/0").has_value() && core.latest("key/199").has_value();
    }) == size);
}

TEST_CASE("random deaths, restarts and cuts leave every table the same")
{
    constexpr std::uint32_t size = 24;
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        CAPTURE(seed);
        gossip_fleet fleet{seed, 3, {.loss = 0.1, .duplicate = 0.1}};
        fleet.start_joined(size);
        random_source random{seed};
        for (int round = 0; round < 20; ++round) {
            const auto victim = static_cast<std::uint32_t>(1 + random.below(size - 1));
            if (random.chance(0.3)) {
                fleet.partition([&](std::uint32_t number) { return number % 3 == victim % 3; });
            }
            else if (fleet.alive(victim)) {
                fleet.kill(victim);
            }
            else {
                fleet.start(victim, random.below(3), {address_of(0)});
            }
            fleet.run_for(random.between(1s, 20s));
            fleet.network().heal_all();
        }
        fleet.run_for(180s);
        const std::uint32_t running = fleet.count([](const auto&) { return true; });
        CHECK(fleet.count([&](const auto& core) { return knows_all(core, running); }) == running);
    }
}

TEST_CASE("a daemon cut off with a suspicion pending does not declare the suspect dead")
{
    gossip_fleet fleet{10, 1, clean};
    fleet.start_joined(10);
    bool isolated = false;
    fleet.observe([&](std::uint32_t, const action& item) {
        const auto* change = std::get_if<member_changed>(&item);
        if (!isolated && change != nullptr && change->record.status == member_status::suspect) {
            isolated = true;
            fleet.partition([](std::uint32_t number) { return number == 4; });
        }
    });
    fleet.run_for(5s);
    fleet.kill(3);
    fleet.run_for(30s);
    REQUIRE(isolated);
    for (std::uint32_t other = 0; other < 10; ++other) {
        CHECK(fleet.status(4, other) != member_status::dead);
    }
    CHECK(fleet.status(0, 3) == member_status::dead);
}
