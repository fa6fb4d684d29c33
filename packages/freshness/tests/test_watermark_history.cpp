// Tests of the positions that reads of a given age have to see.
#include "gypsumstep/freshness/watermark_history.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::freshness;

namespace {

const time_point start{100s};

log_position at(std::uint64_t term_number, std::uint64_t index)
{
    return {term{term_number}, index};
}

} // namespace

TEST_CASE("no watermark is used for a moment that it does not cover")
{
    watermark_history history{2s};
    history.add({at(1, 10), start}, start);
    CHECK(history.position_for({start, {}}) == at(1, 10));
    CHECK_FALSE(history.position_for({start + 1us, {}}));
}

TEST_CASE("the oldest sufficient watermark is chosen")
{
    watermark_history history{2s};
    for (int i = 0; i < 5; ++i) {
        const time_point moment = start + i * 100ms;
        history.add({at(1, 10 + static_cast<std::uint64_t>(i)), moment}, moment);
    }
    CHECK(history.position_for({start + 150ms, {}}) == at(1, 12));
    CHECK(history.position_for({start - 1s, {}}) == at(1, 10));
}

TEST_CASE("a session's own commit raises the position")
{
    watermark_history history{2s};
    history.add({at(1, 10), start}, start);
    CHECK(history.position_for({start, at(1, 17)}) == at(1, 17));
    CHECK(history.position_for({start, at(1, 3)}) == at(1, 10));
}

TEST_CASE("a promotion drops positions that may have been rolled back")
{
    watermark_history history{10s};
    history.add({at(1, 50), start}, start);
    history.add({at(2, 40), start + 1s}, start + 1s);
    CHECK(history.position_for({start, {}}) == at(2, 40));
    // The session's commit 1/48 was either kept in 2/40's log or rolled back.
    CHECK(history.position_for({start, at(1, 48)}) == at(2, 40));
}

TEST_CASE("a late answer of the old term changes nothing")
{
    watermark_history history{10s};
    history.add({at(2, 40), start}, start);
    history.add({at(1, 99), start + 1s}, start + 1s);
    CHECK(history.position_for({start, {}}) == at(2, 40));
    CHECK_FALSE(history.position_for({start + 1s, {}}));
}

TEST_CASE("answers that cross keep the positions ascending")
{
    watermark_history history{10s};
    history.add({at(1, 30), start + 200ms}, start + 250ms);
    history.add({at(1, 31), start + 100ms}, start + 260ms);
    CHECK(history.position_for({start + 50ms, {}}) == at(1, 30));
    CHECK(history.position_for({start + 200ms, {}}) == at(1, 30));
}

TEST_CASE("old watermarks are dropped")
{
    watermark_history history{1s};
    history.add({at(1, 10), start}, start);
    history.add({at(1, 20), start + 3s}, start + 3s);
    CHECK(history.position_for({start, {}}) == at(1, 20));
}
