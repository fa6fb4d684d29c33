#include "gypsumstep/accounts/account_table.h"

#include <catch2/catch.hpp>

using namespace gypsumstep::accounts;

namespace {

key_digest digest(std::uint8_t value)
{
    key_digest made;
    made.bytes.back() = value;
    return made;
}

} // namespace

// Guards against statements that run for an account which does not hold the client's key.
TEST_CASE("An account is found by each of its keys only", "[accounts]")
{
    account_table table;
    CHECK(table.add({"north", 1, 10, 10, {digest(1), digest(2)}}) == add_outcome::added);
    CHECK(table.add({"south", 1, 10, 10, {digest(3)}}) == add_outcome::added);
    REQUIRE(table.find(digest(2)) != nullptr);
    CHECK(table.find(digest(2))->name == "north");
    CHECK(table.find(digest(3))->name == "south");
    CHECK(table.find(digest(4)) == nullptr);
}

// Guards against a key of two accounts that lets its clients in as either of them.
TEST_CASE("A key of two accounts is valid for neither", "[accounts]")
{
    account_table table;
    table.add({"north", 1, 10, 10, {digest(1), digest(2)}});
    CHECK(table.add({"south", 1, 10, 10, {digest(2), digest(3)}}) == add_outcome::duplicate_key);
    CHECK(table.find(digest(2)) == nullptr);
    CHECK(table.find(digest(1))->name == "north");
    CHECK(table.find(digest(3))->name == "south");
    CHECK(table.add({"south", 1, 10, 10, {digest(5)}}) == add_outcome::duplicate_name);
    CHECK(table.find(digest(5)) == nullptr);
}

// Guards against a malformed digest of another daemon that is taken for a valid one.
TEST_CASE("Digests are parsed from exactly 64 hexadecimal digits", "[accounts]")
{
    const std::string text = to_hex(digest(0xa7));
    CHECK(text.size() == 64);
    CHECK(parse_key_digest(text) == digest(0xa7));
    CHECK_FALSE(parse_key_digest(""));
    CHECK_FALSE(parse_key_digest("-"));
    CHECK_FALSE(parse_key_digest(text + "0"));
    CHECK_FALSE(parse_key_digest(text.substr(1) + "g"));
    CHECK_FALSE(parse_key_digest(text.substr(2) + "+1"));
}

// Guards against an account that is taken for a small one, and whose sessions crowd at one home.
TEST_CASE("An account's share of the traffic is judged by its rate")
{
    account_table table;
    table.add({"large", 1, 30, 30, {}});
    table.add({"small", 1, 10, 10, {}});
    CHECK(table.traffic_share("large") == Approx(0.75));
    CHECK(table.traffic_share("unknown") == Approx(0.0));
    table.add({"unlimited", 1, 0, 0, {}});
    CHECK(table.traffic_share("unlimited") == Approx(1.0));
    account_table without_rates;
    without_rates.add({"one", 1, 0, 0, {}});
    CHECK(without_rates.traffic_share("one") == Approx(0.0));
}
