// Tests of the entry gate, retry budget, connect limiter and concurrency limit.
#include "gypsumstep/admission/concurrency_limit.h"
#include "gypsumstep/admission/connect_limiter.h"
#include "gypsumstep/admission/entry_gate.h"
#include "gypsumstep/admission/retry_budget.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::admission;

namespace {

const time_point start{1s};

// Reports completions of a saturated server whose service time depends on the limit.
template <class ServiceTime>
void complete(concurrency_limit& limit, ServiceTime service_time, int count, time_point& now)
{
    for (int i = 0; i < count; ++i) {
        const std::uint32_t running = limit.limit(0.0);
        const duration measured = service_time(running);
        now += measured / running;
        limit.completed(static_cast<double>(measured.count()), true, now);
    }
}

} // namespace

TEST_CASE("the entry gate refuses what a full home would refuse, until the report is old")
{
    entry_gate gate;
    const home_queue queue{server_id{3}, daemon_id{1}};
    load_report report;
    report.ranks[index_of(rank::last)] = {200ms, 10ms, false};
    gate.add_report(queue, report, start);
    const time_point deadline = start + 100ms;
    CHECK_FALSE(gate.check(queue, rank::last, deadline, start)); // a probe
    const auto refusal = gate.check(queue, rank::last, deadline, start + 1ms);
    REQUIRE(refusal);
    CHECK(refusal->reason == refusal_reason::deadline);
    CHECK_FALSE(gate.check(queue, rank::urgent, deadline, start + 1ms));
    CHECK_FALSE(gate.check(queue, rank::last, start + 300ms, start + 1ms));
    CHECK_FALSE(gate.check(queue, rank::last, deadline, start + 30ms)); // the next probe
    CHECK(gate.current(queue, start + 150ms)->ranks[2].estimated_wait == 50ms);
    CHECK_FALSE(gate.current(queue, start + 5s));

    report.accepting = false;
    gate.add_report(queue, report, start);
    CHECK(gate.check(queue, rank::urgent, deadline, start)->reason ==
          refusal_reason::not_accepting);
}

TEST_CASE("retries stay within a share of fresh requests")
{
    retry_budget budget{{0.1, 5.0}};
    int retries = 0;
    for (int i = 0; i < 1'000; ++i) {
        budget.fresh_request(rank::last);
        for (int attempt = 0; attempt < 10; ++attempt) {
            retries += budget.try_retry(rank::last) ? 1 : 0;
        }
    }
    CHECK(retries >= 95);
    CHECK(retries <= 105);
    CHECK(budget.try_retry(rank::urgent)); // ranks have separate budgets
}

TEST_CASE("few connections are opened at a time, and failures spread the next attempts")
{
    random_source random{7};
    connect_limiter limiter{{2, 50ms, 2s}};
    CHECK(limiter.try_open(start));
    CHECK(limiter.try_open(start));
    CHECK_FALSE(limiter.try_open(start));
    limiter.opened();
    CHECK(limiter.try_open(start));
    time_point now = start;
    duration longest{0};
    for (int i = 0; i < 30; ++i) {
        limiter.failed(random, now);
        longest = std::max(longest, limiter.not_before() - now);
        CHECK(limiter.not_before() - now <= 4s);
        now = std::max(now, limiter.not_before());
        CHECK(limiter.try_open(now));
    }
    CHECK(longest > 1s);
}

TEST_CASE("an overloaded server gets fewer slots, and a merely slow one keeps its slots")
{
    const auto fast = [](std::uint32_t) { return duration{10ms}; };
    const auto overloaded = [](std::uint32_t running) { return running * duration{20ms}; };
    const auto slow = [](std::uint32_t) { return duration{50ms}; };

    concurrency_limit first{5};
    time_point now = start;
    complete(first, fast, 2'000, now);
    CHECK(first.limit(0.0) == 5);
    complete(first, overloaded, 2'000, now);
    CHECK(first.limit(0.0) < 5);
    complete(first, fast, 20'000, now);
    CHECK(first.limit(0.0) == 5);
    complete(first, overloaded, 2'000, now);
    CHECK(first.limit(0.0) < 5);
    for (int i = 0; i < 100; ++i) {
        now += 200ms;
        first.completed(10'000.0, false, now); // not saturated
    }
    CHECK(first.limit(0.0) == 5);

    concurrency_limit second{5};
    complete(second, fast, 2'000, now);
    complete(second, slow, 2'000, now);
    CHECK(second.limit(0.0) == 5);
}
