// Tests of the value types that every package shares.
#include "gypsumstep/base/finding.h"
#include "gypsumstep/base/ids.h"
#include "gypsumstep/base/position.h"
#include "gypsumstep/base/random.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;

TEST_CASE("positions order by term before index")
{
    const log_position late_index{term{1}, 900};
    const log_position next_term{term{2}, 3};
    CHECK(late_index < next_term);
    CHECK(parse_position(to_string(late_index)) == late_index);
}

TEST_CASE("malformed positions are refused")
{
    for (const auto* text : {"", "/", "1/", "/2", "a/1", "1/2x", "1", "-1/2"}) {
        INFO(text);
        CHECK_FALSE(parse_position(text).has_value());
    }
}

TEST_CASE("generators with the same seed produce the same sequence")
{
    random_source first{7};
    random_source second{7};
    for (int i = 0; i < 100; ++i) {
        CHECK(first.below(1000) == second.below(1000));
    }
    CHECK(random_source{1}.between(3us, 3us) == 3us);
}

TEST_CASE("a finding is printed with its place first")
{
    const finding value{{"a.json", 3, 9}, "/daemon/port", "must be below 65536"};
    CHECK(to_string(value) == "a.json:3:9: /daemon/port: must be below 65536");
}
