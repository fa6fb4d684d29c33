// Tests of server_health: a failing server is told from a busy one.
#include "gypsumstep/promotion/server_health.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::promotion;

namespace {

const time_point start{100s};

} // namespace

TEST_CASE("a server counts as failing from the first refused connection until it answers")
{
    server_health health;
    health.failed(start);
    health.failed(start + 300ms);
    CHECK(health.failing_for(start + 500ms) == 500ms);
    health.answered(start + 600ms);
    CHECK(health.failing_for(start + 700ms) == 0ms);
}

TEST_CASE("silence counts only after the timeout, and then from its beginning")
{
    server_health health;
    health.answered(start);
    health.waiting_since(start + 100ms, start + 100ms + server_health::silence_timeout - 1ms);
    CHECK(health.failing_for(start + 1s) == 0ms);
    health.waiting_since(start + 100ms, start + 100ms + server_health::silence_timeout);
    CHECK(health.failing_for(start + 1100ms) == 1s);
}

TEST_CASE("a server with one slow statement is not failing if it answers others")
{
    server_health health;
    health.answered(start + 2s);
    health.waiting_since(start, start + 2500ms);
    CHECK(health.failing_for(start + 2500ms) == 0ms);
}

TEST_CASE("time in which this process was frozen does not count as silence")
{
    server_health health;
    health.answered(start);
    health.failed(start + 100ms);
    health.resumed(start + 5s);
    CHECK(health.failing_for(start + 5s) == 0ms);
    health.waiting_since(start + 50ms, start + 5100ms);
    CHECK(health.failing_for(start + 5100ms) == 0ms);
}
