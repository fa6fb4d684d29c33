// Tests of acknowledgement by a majority and of request keys.
#include "gypsumstep/commit/outcome.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::commit;

namespace {

constexpr server_id a{0};
constexpr server_id b{1};
constexpr server_id c{2};

log_position at(std::uint64_t entry_term, std::uint64_t index)
{
    return {term{entry_term}, index};
}

server_report holds(server_id server, log_position held, std::uint64_t granted)
{
    return {server, held, term{granted}};
}

} // namespace

TEST_CASE("a commit is acknowledged once a majority holds it in its term")
{
    commit_tracker tracker{{a, b, c}};
    tracker.report(holds(a, at(2, 9), 2));
    // A longer log of an older term holds no entry of term 2.
    tracker.report(holds(b, at(1, 30), 2));
    tracker.report(holds(server_id{7}, at(2, 9), 2));
    CHECK(tracker.check(at(2, 9)) == confirmation::waiting);
    tracker.report(holds(b, at(2, 9), 2));
    CHECK(tracker.check(at(2, 9)) == confirmation::acknowledged);
    CHECK(tracker.check(at(2, 10)) == confirmation::waiting);
}

TEST_CASE("a commit is superseded once a higher term is known")
{
    commit_tracker tracker{{a, b, c}};
    tracker.report(holds(a, at(2, 9), 2));
    tracker.report(holds(b, at(2, 9), 2));
    tracker.observe_term(term{3});
    CHECK(tracker.check(at(2, 9)) == confirmation::superseded);
}

TEST_CASE("a server that granted a higher term is out of an older commit's majority for good")
{
    commit_tracker tracker{{a, b, c}};
    tracker.report(holds(a, at(2, 9), 2));
    tracker.report(holds(b, at(2, 8), 3));
    tracker.report(holds(b, at(2, 9), 2)); // arrives late
    CHECK_FALSE(tracker.majority_holds(at(2, 9)));
}

TEST_CASE(
    "a request whose key is found has run once a majority holds an entry of the primary's term")
{
    commit_tracker tracker{{a, b, c}};
    const key_lookup lookup{term{2}, at(3, 10), at(2, 9)};
    tracker.report(holds(a, at(3, 10), 3));
    // An entry of an older term can be replaced even if a majority holds it.
    tracker.report(holds(b, at(2, 9), 3));
    CHECK(resolve(lookup, tracker) == outcome::unknown);
    tracker.report(holds(b, at(3, 10), 3));
    CHECK(resolve(lookup, tracker) == outcome::ran);
}

TEST_CASE("an absent key proves not run only in a higher term whose opening entry a majority holds")
{
    commit_tracker tracker{{a, b, c}};
    tracker.report(holds(a, at(3, 10), 3));
    CHECK(resolve(key_lookup{term{2}, at(3, 10), {}}, tracker) == outcome::unknown);
    tracker.report(holds(b, at(3, 11), 3));
    CHECK(resolve(key_lookup{term{2}, at(3, 10), {}}, tracker) == outcome::not_run);
    CHECK(resolve(key_lookup{term{3}, at(3, 10), {}}, tracker) == outcome::unknown);
}
