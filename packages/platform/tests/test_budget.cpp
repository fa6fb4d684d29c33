// Tests of the budget towards the platform and of the wait between attempts.
#include "gypsumstep/platform/budget.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;

TEST_CASE("a budget bounds what is sent in any period to burst and rate")
{
    platform::budget budget{{10.0, 5.0}};
    int sent = 0;
    for (duration at{0}; at <= 10s; at += 1ms) {
        sent += budget.take(time_point{at}) ? 1 : 0;
    }
    CHECK(sent >= 104);
    CHECK(sent <= 105);
    CHECK(budget.taken() == static_cast<std::uint64_t>(sent));
    CHECK(budget.taken() + budget.refused() == 10'001);
}

TEST_CASE("an idle budget gathers no more than its burst")
{
    platform::budget budget{{10.0, 2.0}};
    const time_point later{1h};
    CHECK(budget.take(later));
    CHECK(budget.take(later));
    CHECK_FALSE(budget.take(later));
}

TEST_CASE("waits grow, vary and stay within their bounds")
{
    random_source random{3};
    const platform::backoff_limits limits{100ms, 1s};
    for (std::uint32_t attempt = 0; attempt < 100; ++attempt) {
        const duration wait = platform::backoff(limits, attempt, random);
        CHECK(wait > 0us);
        CHECK(wait <= std::min<duration>(1s, 100ms * (1LL << std::min(attempt, 10U))));
    }
}
