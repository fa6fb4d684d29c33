// Checks the targets of the ranked variant in short floods with a fixed seed.
#include "flood/targets.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::flood;

TEST_CASE("the product meets its targets under a flood of each rank")
{
    for (const site& fleet : {holmgaard(), mixlume()}) {
        for (const rank flooding : {rank::last, rank::next, rank::urgent}) {
            scenario value;
            value.fleet = fleet;
            value.flooding = flooding;
            value.factor = 50;
            const outcome unflooded = run_unflooded(value);
            const outcome flooded = run(value);
            INFO(fleet.name << ", flood of rank " << index_of(flooding));
            const auto missed = missed_targets(value, flooded, unflooded);
            CAPTURE(missed);
            CHECK(missed.empty());
        }
    }
}
