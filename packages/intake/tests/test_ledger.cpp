// Tests of the bound on what all connections hold, and of the time limits. Each names the crowd
// that it guards against.
#include "gypsumstep/intake/ledger.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::intake;

namespace {

constexpr time_point begin{};

limits small_limits()
{
    limits chosen;
    chosen.max_bytes = 1'000'000;
    chosen.statements_ahead = 3;
    chosen.ahead_bytes = 50'000;
    chosen.unread_bytes = 50'000;
    return chosen;
}

ledger with_started(std::uint64_t count)
{
    ledger made{small_limits()};
    for (std::uint64_t id = 1; id <= count; ++id) {
        made.add(connection_id{id}, begin);
        made.set_started(connection_id{id});
    }
    return made;
}

} // namespace

TEST_CASE("a crowd's unfinished messages are closed newest first, until there is room")
{
    ledger all = with_started(4);
    for (std::uint64_t id = 1; id <= 4; ++id) {
        all.set_input(connection_id{id}, 240'000, true, begin + id * 1s);
    }
    CHECK_FALSE(all.is_over());
    CHECK(all.over_bound().empty());
    all.set_input(connection_id{1}, 300'000, false, begin + 9s);
    CHECK(all.is_over());
    CHECK(all.over_bound() == std::vector<verdict>{{connection_id{4}, closing::memory}});
}

TEST_CASE("sessions with a statement in progress are closed last, unread answers before them")
{
    ledger all = with_started(4);
    all.add_statement(connection_id{1}, 890'000);
    all.set_unread(connection_id{2}, 300'000, begin);
    all.set_input(connection_id{3}, 10'000, true, begin);
    all.set_input(connection_id{4}, 500, true, begin + 1s);
    CHECK(all.over_bound() == std::vector<verdict>{{connection_id{3}, closing::memory},
                                                   {connection_id{2}, closing::memory}});
    all.remove(connection_id{2});
    all.remove(connection_id{3});
    all.add_statement(connection_id{4}, 200'000);
    CHECK(all.over_bound() == std::vector<verdict>{{connection_id{1}, closing::memory}});
}

TEST_CASE("a client that sends ahead is not read from beyond a number and a size")
{
    ledger all = with_started(1);
    const connection_id id{1};
    all.add_statement(id, 10);
    all.add_statement(id, 10);
    CHECK(all.may_read(id));
    all.add_statement(id, 10);
    CHECK_FALSE(all.may_read(id));
    all.remove_statement(id, begin);
    CHECK(all.may_read(id));
    all.add_statement(id, 60'000);
    CHECK_FALSE(all.may_read(id));
}

TEST_CASE("under pressure a client is read from only once its statement is answered")
{
    ledger all = with_started(2);
    all.add_statement(connection_id{1}, 10);
    all.set_input(connection_id{2}, 600'000, true, begin);
    CHECK_FALSE(all.may_read(connection_id{1}));
    CHECK(all.may_read(connection_id{2}));
    all.remove_statement(connection_id{1}, begin);
    CHECK(all.may_read(connection_id{1}));
    CHECK(all.held_bytes() == 600'000);
}

TEST_CASE("a client that does not read is not read from, and closed after a time without progress")
{
    ledger all = with_started(1);
    const connection_id id{1};
    all.set_unread(id, 60'000, begin);
    CHECK_FALSE(all.may_read(id));
    all.set_unread(id, 59'000, begin + 20s); // it reads slowly
    CHECK(all.overdue(begin + 40s).empty());
    all.set_unread(id, 70'000, begin + 41s); // more answers are no progress of the client
    CHECK(all.overdue(begin + 50s) == std::vector<verdict>{{id, closing::answers_unread}});
}

TEST_CASE("START and a message have to be complete in time; idle sessions stay open")
{
    ledger all{small_limits()};
    const connection_id slow{1};
    const connection_id idle{2};
    all.add(slow, begin);
    all.add(idle, begin);
    all.set_input(idle, 20, false, begin);
    all.set_input(idle, 0, true, begin);
    all.set_started(idle);
    all.set_input(slow, 1, false, begin + 9s);
    CHECK(all.overdue(begin + 10s) == std::vector<verdict>{{slow, closing::start_overdue}});
    all.remove(slow);
    CHECK_FALSE(all.is_watching());
    CHECK(all.overdue(begin + 24h).empty());
    all.set_input(idle, 1, false, begin + 24h);
    all.set_input(idle, 900, false, begin + 24h + 100s); // further bytes do not extend the time
    CHECK(all.overdue(begin + 24h + 119s).empty());
    CHECK(all.overdue(begin + 24h + 120s) ==
          std::vector<verdict>{{idle, closing::message_overdue}});
}

TEST_CASE("a message that waits for the process itself is not overdue")
{
    ledger all = with_started(1);
    const connection_id id{1};
    all.add_statement(id, 60'000);
    all.set_input(id, 100, true, begin);
    CHECK(all.overdue(begin + 10min).empty());
    all.remove_statement(id, begin + 10min);
    CHECK(all.overdue(begin + 10min).empty());
    CHECK(all.overdue(begin + 12min).size() == 1);
}

TEST_CASE("of the connections without START the oldest makes room, if it is old enough")
{
    ledger all = with_started(1);
    all.add(connection_id{2}, begin + 1s);
    all.add(connection_id{3}, begin + 2s);
    CHECK_FALSE(all.oldest_unstarted(begin + 1500ms, 1s));
    CHECK(all.oldest_unstarted(begin + 4s, 1s) == connection_id{2});
}

TEST_CASE("what sessions keep counts, so that prepared statements cannot fill the memory")
{
    ledger all = with_started(2);
    all.set_kept(connection_id{1}, 700'000);
    all.set_kept(connection_id{2}, 400'000);
    CHECK(all.over_bound() == std::vector<verdict>{{connection_id{1}, closing::memory}});
    all.set_kept(connection_id{1}, 0);
    CHECK(all.held_bytes() == 400'000);
    CHECK_FALSE(all.is_watching());
}
