// Tests of the decision to retry a request.
#include "gypsumstep/commit/retry.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::commit;

TEST_CASE("only a request that was not sent or is idempotent is retried")
{
    retry_budget budget{{}};
    random_source random{1};
    const time_point deadline{5s};
    const auto decide = [&](bool sent, bool idempotent) {
        return budget.decide({{sent, idempotent}, 0, deadline}, time_point{}, random).has_value();
    };
    CHECK(decide(false, false));
    CHECK(decide(true, true));
    CHECK_FALSE(decide(true, false));
}

TEST_CASE("the budget is a share of new requests")
{
    retry_budget budget{{.share = 0.25, .burst = 2.0}};
    random_source random{1};
    const retry_request request{{}, 0, time_point{5s}};
    const auto decide = [&] { return budget.decide(request, time_point{}, random).has_value(); };
    CHECK(decide());
    CHECK(decide());
    CHECK_FALSE(decide());
    for (int i = 0; i < 4; ++i) {
        budget.add_new_request();
    }
    CHECK(decide());
    CHECK_FALSE(decide());
}

TEST_CASE("delays are random, bounded and within the deadline")
{
    retry_budget budget{{.burst = 1'000.0}};
    random_source random{3};
    for (std::uint32_t retries = 0; retries < 100; ++retries) {
        const auto at = budget.decide({{}, retries, time_point{5s}}, time_point{}, random);
        REQUIRE(at);
        CHECK(*at <= time_point{500ms});
    }
    CHECK_FALSE(budget.decide({{}, 0, time_point{1s}}, time_point{1s}, random));
}
