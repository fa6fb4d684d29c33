// Tests of the takeover of slots.
#include "gypsumstep/allowance/keeper_slots.h"
#include "gypsumstep/allowance/slot_ownership.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::allowance;

namespace {

const time_point start{100s};

const homes::daemon_entry high{"high", "a", "", 0, 500};
const homes::daemon_entry low{"low", "a", "", 0, 1};

} // namespace

// Guards against two holders of a slot.
TEST_CASE("a slot is held once all others answered, and given up when a higher daemon appears")
{
    slot_ownership one{low, 1};
    CHECK(one.held_slots(start) == 0);
    // Guards against daemons that start together, know nobody yet, and would all hold the slot.
    one.set_daemons({}, start - 1s);
    CHECK(one.held_slots(start) == 0);
    one.set_daemons({low, {"lower", "a", "", 0, 0}}, start);
    REQUIRE(slot_rank("low", 1, 0) > 0);
    const bool is_best = slot_rank("low", 1, 0) > slot_rank("lower", 0, 0);
    if (is_best) {
        CHECK(one.take_recipients() == std::vector<std::string>{"lower"});
        CHECK(one.held_slots(start + 300ms) == 0);
        one.on_presence({"lower", "a", 0, true}, start + 300ms);
        CHECK(one.held_slots(start + 300ms) == 1);
    }
    one.on_presence({"high", "a", 500, false}, start + 400ms);
    CHECK(one.held_slots(start + 400ms) == 0);
}

// Guards against two holders that do not know each other, while a third daemon knows both.
TEST_CASE("a daemon learns of a higher one from the answers of others")
{
    slot_ownership third{{"third", "a", "", 0, 0}, 1};
    third.set_daemons({{"third", "a", "", 0, 0}, high, low}, start);
    const presence claim{"low", "a", 1, false};
    REQUIRE(third.higher_than(claim, start).size() == 1);
    CHECK(third.higher_than(claim, start)[0] == known_daemon{"high", 500});
    CHECK(third.higher_than({"high", "a", 500, false}, start).empty());

    const homes::daemon_entry middle{"middle", "a", "", 0, 100};
    slot_ownership one{middle, 1};
    one.set_daemons({middle}, start);
    CHECK(one.held_slots(start + 200ms) == 1);
    one.on_presence({"third", "a", 0, true, {{"high", 500}}}, start + 300ms);
    CHECK(one.held_slots(start + 300ms) == 0);
    // The hint is too old after a while, and the slot is claimed again.
    one.on_tick(one.next_tick() + 1ms);
    CHECK(one.next_tick() < start + 36s);
}

// Guards against a whole slot granted beside a daemon that is cut off and still grants it.
TEST_CASE("a slot counts half while another daemon is silent")
{
    slot_ownership one{high, 1};
    one.set_daemons({high, low, {"other", "b", "", 0, 900}}, start);
    CHECK(one.held_slots(start + 399ms) == 0);
    CHECK(one.held_slots(start + 400ms) == 0.5);
    one.on_presence({"low", "a", 1, true}, start + 500ms);
    CHECK(one.held_slots(start + 500ms) == 1);
    // Nobody of the domain was heard for longer than two renewals.
    CHECK(one.held_slots(start + 80s) == 0.5);
}

TEST_CASE("each domain has the same number of slots, at least three in total")
{
    CHECK(keeper_slots{"a", {{"a", "r"}}}.part_of_slot() == Approx(1.0 / 3));
    CHECK(keeper_slots{"a", {{"a", "r"}, {"b", "r"}}}.part_of_slot() == Approx(1.0 / 4));
    const keeper_slots six{
        "a1", {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"b2", "b"}, {"c1", "c"}, {"c2", "c"}}};
    CHECK(six.part_of_slot() == Approx(1.0 / 6));
    const auto keepers = six.nearest_keepers({{"x", "b1", "", 0, 1},
                                              {"y", "a2", "", 0, 1},
                                              {"z", "a1", "", 0, 1},
                                              {"w", "a1", "", 0, 900}});
    REQUIRE(keepers.size() == 3);
    CHECK(keepers[0] == keeper_place{"w", 0});
    CHECK(keepers[1] == keeper_place{"y", 1});
}
