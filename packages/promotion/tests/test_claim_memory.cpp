// Tests of what a daemon remembers of claims across the store's eras.
#include "gypsumstep/promotion/claim_memory.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::promotion;

namespace {

const time_point start{100s};

} // namespace

// ONE: a daemon that knows nothing of the lost claims must not use one of their tokens.
TEST_CASE("tokens of a later era are higher than all earlier ones and below 2^53")
{
    CHECK(first_token(0) == 0);
    CHECK(first_token(1) > first_token(0) + tokens_per_era - 1);
    CHECK(first_token(1'765'000'000) > first_token(1'764'999'999));
    CHECK(first_token(UINT64_MAX) + tokens_per_era < 1ULL << 53U);
}

TEST_CASE("a lost claim is put back with the rest of its lease")
{
    claim_memory memory;
    const claim older{"d1", 4, "r1", store_time{1000}, {}};
    const claim newer{"d2", 5, "r2", store_time{2000}, "r1"};
    memory.learn("ledger", newer, store_time{2500}, start);
    memory.learn("ledger", older, store_time{2500}, start);
    CHECK(memory.highest_token("ledger") == 5);
    shared_state state;
    state.current_claim = older;
    state.claim_version = 8;
    state.now = store_time{50'000};
    const auto restored = memory.restore("ledger", state, start + 1s);
    REQUIRE(restored);
    CHECK(restored->next.token == 5);
    CHECK(restored->next.former == "r1");
    CHECK(restored->next.claimed_at == store_time{48'500});
    CHECK(restored->expected_version == 8);
}

TEST_CASE("nothing is put back over a claim that is as new, or over a row that cannot be read")
{
    claim_memory memory;
    memory.learn("ledger", {"d1", 4, "r1", store_time{1000}, {}}, store_time{1000}, start);
    shared_state state;
    state.current_claim = claim{"d2", 4, "r2", store_time{0}, {}};
    CHECK_FALSE(memory.restore("ledger", state, start));
    state.current_claim.reset();
    state.claim_version = 3;
    CHECK_FALSE(memory.restore("ledger", state, start));
    CHECK_FALSE(memory.restore("other", shared_state{}, start));
}

TEST_CASE("a token that was only planned counts, but the plan is not put back")
{
    claim_memory memory;
    memory.learn_token("ledger", 9);
    CHECK(memory.highest_token("ledger") == 9);
    CHECK(memory.services().empty());
}

TEST_CASE("a claim that was settled is put back as settled")
{
    claim_memory memory;
    const claim open{"d1", 4, "r1", store_time{1000}, {}, {"r1"}, true};
    claim settled = open;
    settled.ordered.clear();
    settled.paused = false;
    memory.learn("ledger", open, store_time{1000}, start);
    memory.learn("ledger", settled, store_time{1000}, start);
    memory.learn("ledger", open, store_time{1000}, start);
    const auto restored = memory.restore("ledger", shared_state{}, start);
    REQUIRE(restored);
    CHECK(restored->next.is_settled());
}
