// Tests of the virtual-time event queue and network.
#include "gypsumstep/sim/network.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;

TEST_CASE("events run in the order of their time, ties in the order scheduled")
{
    sim::event_queue queue;
    std::vector<int> run_order;
    queue.after(2ms, [&] { run_order.push_back(3); });
    queue.after(1ms, [&] { run_order.push_back(1); });
    queue.after(1ms, [&] { run_order.push_back(2); });
    queue.run_until(time_point{5ms});
    CHECK(run_order == std::vector<int>{1, 2, 3});
    CHECK(queue.now() == time_point{5ms});
}

TEST_CASE("a cut drops one direction only")
{
    sim::event_queue queue;
    random_source random{1};
    sim::network network{queue, random, {}};
    int arrived = 0;
    network.cut(1, 2);
    network.send(1, 2, [&] { arrived += 1; });
    network.send(2, 1, [&] { arrived += 10; });
    queue.run_until(time_point{1s});
    CHECK(arrived == 10);
}
