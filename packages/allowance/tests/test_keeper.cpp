// Tests of a keeper's buckets and of the stock of an entry daemon.
#include "gypsumstep/allowance/keeper.h"
#include "gypsumstep/allowance/stock.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::allowance;

namespace {

const time_point start{100s};

/// Asks a keeper for tokens of the account "a".
account_grant ask(keeper& asked, std::uint32_t waiting, time_point now, std::uint32_t ahead = 0)
{
    return asked.grant({"d", 1, {{"a", waiting, ahead, 0}}}, now).grants.at(0);
}

} // namespace

// Guards against a restart that grants the burst again.
TEST_CASE("a keeper starts with its part of the start tokens, and refills up to its part")
{
    keeper one{terms{}};
    CHECK_FALSE(one.grant({"d", 1, {{"a", 1, 0, 0}}}, start).is_keeper);
    one.set_limits({{"a", {60, 60}}}, start);
    one.set_part(0.5, start);
    // Half of 6, and half of the refill of 0.1 s.
    CHECK(ask(one, 100, start).thousandths == 6000);
    CHECK(ask(one, 100, start + 100ms).thousandths == 0);
    CHECK(ask(one, 100, start + 1100ms).thousandths == 30000);
    CHECK(ask(one, 100, start + 20s).thousandths == 34000);
}

TEST_CASE("a keeper drops what exceeds a lowered limit, and tells when the next token is due")
{
    keeper one{terms{}};
    one.set_limits({{"a", {100, 100}}}, start);
    one.set_part(1, start);
    one.set_limits({{"a", {2, 2}}}, start + 10s);
    CHECK(ask(one, 100, start + 10s).thousandths == 10000);
    const account_grant none = ask(one, 1, start + 10s);
    CHECK(none.thousandths == 0);
    CHECK(none.retry_after >= 500ms);
    CHECK(ask(one, 1, start + 10s + none.retry_after).thousandths == 1000);
}

// Guards against tokens that expire unused at one daemon while another one has none.
TEST_CASE("tokens ahead of use come only from the upper half of a bucket")
{
    keeper one{terms{}};
    one.set_limits({{"a", {12, 12}}}, start);
    one.set_part(1, start);
    CHECK(ask(one, 1, start + 20s, 100).thousandths == 10000);
    CHECK(ask(one, 3, start + 20s, 100).thousandths == 3000);
}

// Guards against a token that is used in a later window than the keeper counts it in.
TEST_CASE("tokens expire after their lifetime, counted from the request")
{
    stock entry{terms{}, "d", 1};
    entry.set_limits({{"a", {100, 100}}});
    entry.set_keepers({{"k", 0}}, 0.5);
    CHECK_FALSE(entry.try_take("a", start));
    entry.wait("a", 7, start);
    REQUIRE(entry.take_requests(start).size() == 1);
    entry.on_answer({1, true, {{3000, {}}}}, start + 10ms);
    CHECK(entry.take_decisions() == std::vector<decision>{{7, "a", true, {}}});
    CHECK(entry.try_take("a", start + 199ms));
    CHECK_FALSE(entry.try_take("a", start + 200ms));
    // An answer that comes twice or to another life of the process grants nothing.
    entry.on_answer({1, true, {{3000, {}}}}, start + 201ms);
    entry.on_answer({99, true, {{3000, {}}}}, start + 201ms);
    CHECK_FALSE(entry.try_take("a", start + 202ms));
}

// Guards against operations that wait on for keepers that do not answer.
TEST_CASE("a silent keeper is replaced by the next, and an operation is refused after all of them")
{
    stock entry{terms{}, "d", 1};
    entry.set_limits({{"a", {100, 100}}});
    entry.set_keepers({{"k", 0}, {"l", 1}}, 0.5);
    entry.wait("a", 7, start);
    CHECK(entry.take_requests(start).at(0).keeper == "k");
    CHECK(entry.next_tick() == start + 150ms);
    entry.on_tick(start + 150ms);
    CHECK(entry.take_requests(start + 150ms).at(0).keeper == "l");
    duration passed = 150ms;
    while (entry.waiting() > 0 && passed < 2s) {
        passed += 10ms;
        entry.on_tick(start + passed);
        (void)entry.take_requests(start + passed);
    }
    CHECK(passed <= 900ms);
    const std::vector<decision> refused = entry.take_decisions();
    REQUIRE(refused.size() == 1);
    CHECK_FALSE(refused[0].granted);
    CHECK(refused[0].retry_after > duration{0});
}

// Guards against operations that hang, or run without a token, when their account is removed.
TEST_CASE("operations of a removed account are refused")
{
    stock entry{terms{}, "d", 1};
    entry.set_limits({{"a", {100, 100}}});
    entry.set_keepers({{"k", 0}}, 0.5);
    entry.wait("a", 7, start);
    entry.set_limits({});
    const std::vector<decision> refused = entry.take_decisions();
    REQUIRE(refused.size() == 1);
    CHECK_FALSE(refused[0].granted);
    CHECK(entry.next_tick() == time_point::max());
}

// Guards against a small account that is refused while each keeper has a part of a token.
TEST_CASE("parts of a token from several keepers permit an operation")
{
    stock entry{terms{}, "d", 1};
    entry.set_limits({{"a", {2, 2}}});
    entry.set_keepers({{"k", 0}, {"l", 1}}, 0.5);
    entry.wait("a", 7, start);
    CHECK(entry.take_requests(start).size() == 1);
    entry.on_answer({1, true, {{0, 400ms}}}, start);
    CHECK(entry.take_requests(start).size() == 1);
    entry.on_answer({2, true, {{0, 500ms}}}, start);
    const auto requests = entry.take_requests(start);
    REQUIRE(requests.size() == 2);
    CHECK(requests[0].content.needs == std::vector<account_need>{{"a", 0, 0, 600}});
    CHECK(requests[1].content.needs == std::vector<account_need>{{"a", 0, 0, 400}});
    entry.on_answer({3, true, {{600, 1s}}}, start + 1ms);
    CHECK(entry.take_decisions().empty());
    entry.on_answer({4, true, {{400, 900ms}}}, start + 5ms);
    CHECK(entry.take_decisions() == std::vector<decision>{{7, "a", true, {}}});
}
