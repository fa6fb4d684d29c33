// Tests of the log positions that reads of a given staleness have to see.
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

/// The required position without its time; nothing if a new watermark request is needed.
std::optional<log_position> position_in(const watermark_history& history, const read_bound& bound)
{
    const auto found = history.position_for(bound);
    return found ? std::optional{found->position} : std::nullopt;
}

} // namespace

TEST_CASE("no watermark is used for a time that it does not cover")
{
    watermark_history history{2s};
    history.add({at(1, 10), start}, start);
    CHECK(position_in(history, {start, {}, {}}) == at(1, 10));
    CHECK_FALSE(position_in(history, {start + 1us, {}, {}}));
}

TEST_CASE("the oldest sufficient watermark is chosen")
{
    watermark_history history{2s};
    for (int i = 0; i < 5; ++i) {
        const time_point moment = start + i * 100ms;
        history.add({at(1, 10 + static_cast<std::uint64_t>(i)), moment}, moment);
    }
    CHECK(position_in(history, {start + 150ms, {}, {}}) == at(1, 12));
    CHECK(position_in(history, {start - 1s, {}, {}}) == at(1, 10));
}

TEST_CASE("a session's own commit raises the position")
{
    watermark_history history{2s};
    history.add({at(1, 10), start}, start);
    CHECK(position_in(history, {start, at(1, 17), {}}) == at(1, 17));
    CHECK(position_in(history, {start, at(1, 3), {}}) == at(1, 10));
}

TEST_CASE("a promotion drops positions that may have been rolled back")
{
    watermark_history history{10s};
    history.add({at(1, 50), start}, start);
    history.add({at(2, 40), start + 1s}, start + 1s);
    CHECK(position_in(history, {start, {}, {}}) == at(2, 40));
    // The session's commit 1/48 was either kept in 2/40's log or rolled back.
    CHECK(position_in(history, {start, at(1, 48), {}}) == at(2, 40));
}

TEST_CASE("a late answer of the old term changes nothing")
{
    watermark_history history{10s};
    history.add({at(2, 40), start}, start);
    history.add({at(1, 99), start + 1s}, start + 1s);
    CHECK(position_in(history, {start, {}, {}}) == at(2, 40));
    CHECK_FALSE(position_in(history, {start + 1s, {}, {}}));
}

TEST_CASE("answers that arrive out of order keep the positions ascending")
{
    watermark_history history{10s};
    history.add({at(1, 30), start + 200ms}, start + 250ms);
    history.add({at(1, 31), start + 100ms}, start + 260ms);
    CHECK(position_in(history, {start + 50ms, {}, {}}) == at(1, 30));
    CHECK(position_in(history, {start + 200ms, {}, {}}) == at(1, 30));
}

TEST_CASE("old watermarks are dropped")
{
    watermark_history history{1s};
    history.add({at(1, 10), start}, start);
    history.add({at(1, 20), start + 3s}, start + 3s);
    CHECK(position_in(history, {start, {}, {}}) == at(1, 20));
}

TEST_CASE("the age of a position is that of its watermark or of the session's commit")
{
    watermark_history history{2s};
    history.add({at(1, 10), start}, start);
    CHECK(history.position_for({start, {}, {}})->as_of == start);
    CHECK(history.position_for({start, at(1, 17), start + 5ms})->as_of == start + 5ms);
}
