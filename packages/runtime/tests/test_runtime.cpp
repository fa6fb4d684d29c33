// Tests of the bounded queue between two threads.
#include "gypsumstep/runtime/channel.h"

#include <catch2/catch.hpp>

#include <thread>
#include <vector>

using gypsumstep::runtime::channel;

TEST_CASE("push to a full ring fails and keeps the queued values")
{
    channel<int> ring{2};
    ring.on_wake([] {});
    CHECK(ring.push(1));
    CHECK(ring.push(2));
    CHECK_FALSE(ring.push(3));
    std::vector<int> seen;
    ring.drain([&](int value) { seen.push_back(value); });
    CHECK(seen == std::vector<int>{1, 2});
    CHECK(ring.push(3));
}

TEST_CASE("the consumer is woken once for all values pushed before it drains")
{
    channel<int> ring{8};
    int woken = 0;
    ring.on_wake([&] { ++woken; });
    CHECK(ring.push(1));
    CHECK(ring.push(2));
    CHECK(woken == 1);
    ring.drain([](int) {});
    CHECK(ring.push(3));
    CHECK(woken == 2);
}

TEST_CASE("every value reaches the consumer thread once and in order")
{
    constexpr int count = 100'000;
    channel<int> ring{64};
    ring.on_wake([] {});
    std::thread producer{[&ring] {
        for (int i = 0; i < count; ++i) {
            while (!ring.push(i)) {
                std::this_thread::yield();
            }
        }
    }};
    int expected = 0;
    bool in_order = true;
    while (expected < count) {
        ring.drain([&](int value) { in_order = in_order && value == expected++; });
    }
    producer.join();
    CHECK(in_order);
}
