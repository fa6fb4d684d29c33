// Tests of judging servers by the outcomes of their requests. Each names the failure that it
// guards against.
#include "gypsumstep/base/random.h"
#include "gypsumstep/dispatch/server_outcomes.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::dispatch;

namespace {

const time_point start{100s};

request_outcome outcome_with(random_source& random, std::uint64_t failing_per_cent)
{
    return random.below(100) < failing_per_cent ? request_outcome::failed
                                                : request_outcome::answered;
}

} // namespace

// Failure: a server fails 45 % of its requests while its liveness check passes.
TEST_CASE("a server that fails 45 % of its requests is avoided within two seconds and stays so")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        random_source random{seed};
        server_outcomes server;
        time_point now = start;
        int sent = 0;
        for (; now < start + 2s && !server.is_avoided(); now += 50ms) {
            server.on_outcome(outcome_with(random, 45), now);
        }
        CHECK(server.is_avoided());
        for (; now < start + 20s; now += 50ms) {
            if (!server.is_avoided() || server.may_probe(now, false)) {
                server.on_probe_sent(now);
                server.on_outcome(outcome_with(random, 45), now);
                ++sent;
            }
        }
        CHECK(sent <= 360 * 45 / 100);
    }
}

// Failure: a healthy server fails 2 % of its requests, as all do.
TEST_CASE("a server that fails 2 % of its requests is used")
{
    random_source random{3};
    server_outcomes server;
    int avoided = 0;
    for (int i = 0; i < 2000; ++i) {
        server.on_outcome(outcome_with(random, 2), start + i * 50ms);
        avoided += server.is_avoided() ? 1 : 0;
    }
    CHECK(avoided < 20);
}

TEST_CASE("an avoided server is used again after some successful probes")
{
    server_outcomes server;
    for (int i = 0; i < 3; ++i) {
        server.on_outcome(request_outcome::lost, start);
    }
    REQUIRE(server.is_avoided());
    CHECK_FALSE(server.may_probe(start + 1ms, false));
    CHECK(server.may_probe(start + 200ms, false));
    for (int i = 0; i < 4; ++i) {
        CHECK(server.is_avoided());
        server.on_outcome(request_outcome::answered, start + 1s);
    }
    CHECK_FALSE(server.is_avoided());
}

// Failure: a server goes down and up each 1.4 s.
TEST_CASE("a server that fails again soon needs more successful probes each time")
{
    server_outcomes server;
    std::uint32_t last = 0;
    for (int episode = 0; episode < 3; ++episode) {
        const time_point now = start + episode * 2800ms;
        for (int i = 0; i < 3; ++i) {
            server.on_outcome(request_outcome::not_reached, now);
        }
        REQUIRE(server.is_avoided());
        CHECK(server.missing_successes() > last);
        last = server.missing_successes();
        while (server.is_avoided()) {
            server.on_outcome(request_outcome::answered, now + 1400ms);
        }
    }
    CHECK(last == 16);
}

// Failure: a server is silent while others answer.
TEST_CASE("a silent server gets no probe while it owes an answer")
{
    server_outcomes server;
    server.on_silence(start);
    CHECK(server.is_avoided());
    CHECK_FALSE(server.may_probe(start + 5s, true));
    CHECK(server.may_probe(start + 5s, false));
    server.on_sign_of_life();
    CHECK_FALSE(server.is_silent());
    CHECK(server.is_avoided());
}

TEST_CASE("a single lost connection does not make a server avoided")
{
    server_outcomes server;
    server.on_outcome(request_outcome::lost, start);
    server.on_outcome(request_outcome::not_reached, start + 100ms);
    CHECK_FALSE(server.is_avoided());
}

// Failure: a server that was slow for a while got no more reads, so its estimate stayed high.
TEST_CASE("the estimate of a server that was slow falls while it is not used")
{
    response_time_estimate estimate;
    time_point now = start;
    for (int i = 0; i < 300; ++i, now += 10ms) {
        estimate.on_measured(30ms, now);
    }
    for (int i = 0; i < 20; ++i, now += 10ms) {
        estimate.on_measured(400ms, now);
    }
    const duration slow = estimate.expected(now);
    CHECK(slow > 300ms);
    CHECK(estimate.expected(now + 900ms) == slow);
    CHECK(estimate.expected(now + 9s) < 200ms);
    CHECK(estimate.expected(now + 9s) >= 30ms);
}

TEST_CASE("an estimate that is not above the long-term mean does not change while unused")
{
    response_time_estimate estimate;
    for (int i = 0; i < 5; ++i) {
        estimate.on_measured(30ms, start);
    }
    CHECK(estimate.expected(start + 60s) == estimate.recent());
}

TEST_CASE("a server counts as silent within half of the shortest statement timeout")
{
    CHECK(silence_limit(0ms) >= 200ms);
    CHECK(silence_limit(10s) <= 400ms);
    CHECK(hedge_delay(10s, 800ms) <= 400ms);
}

// Failure: all servers fail, and retries multiply the load.
TEST_CASE("retries stay within a share of the successes")
{
    retry_budget budget;
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        retries += budget.try_take() ? 1 : 0;
    }
    CHECK(retries == 20);
    for (int i = 0; i < 50; ++i) {
        budget.on_success();
    }
    retries = 0;
    for (int i = 0; i < 1000; ++i) {
        retries += budget.try_take() ? 1 : 0;
    }
    CHECK(retries >= 9);
    CHECK(retries <= 10);
}
