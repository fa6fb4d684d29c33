// Tests of the floors between priority levels.
#include "gypsumstep/scheduling/floor_credit.h"

#include <catch2/catch.hpp>

#include <array>

using namespace gypsumstep;
using namespace gypsumstep::scheduling;

// Guards against a flood of urgent work that stops a less urgent level, and against a floor that
// takes more than its share.
TEST_CASE("a level with a floor gets its share of one slot under a flood of a more urgent one")
{
    struct level {
        floor_credit credit;
        double floor;
        duration served{0};
    };
    std::array<level, 2> levels{{{{}, 0.0}, {{}, 0.1}}};
    for (duration now{0}; now < 10s; now += 10ms) {
        for (level& each : levels) {
            each.credit.advance(each.floor, true, 10ms);
        }
        const auto chosen = select_level(
            levels.begin(), levels.end(), [](const level&) { return true; },
            [](const level& each) { return each.credit.value(); });
        chosen->credit.charge(10ms);
        chosen->served += 10ms;
    }
    CHECK(levels[1].served >= 950ms);
    CHECK(levels[1].served <= 1050ms);
}

// Guards against a floor that is saved up while nothing waits and then stops urgent work.
TEST_CASE("a floor that is not used is not saved up")
{
    floor_credit credit;
    credit.advance(0.1, false, 100s);
    CHECK(credit.value() <= 0.0);
    credit.advance(0.1, true, 100s);
    CHECK(credit.value() <= 100'000.0);
}
