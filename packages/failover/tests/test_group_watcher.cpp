// Tests of one group watcher, told its events by hand.
#include "gypsumstep/failover/group_watcher.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::failover;

namespace {

constexpr server_id a{0};
constexpr server_id b{1};
constexpr server_id c{2};
constexpr daemon_id peer{9};
constexpr primary_view first{term{1}, a};

template <class T>
std::vector<T> all(const actions& done)
{
    std::vector<T> found;
    for (const auto& one : done) {
        if (const auto* value = std::get_if<T>(&one)) {
            found.push_back(*value);
        }
    }
    return found;
}

/// Homes server b; server a is the primary of term 1.
struct bench {
    explicit bench(settings limits = {})
        : watcher{daemon_id{1}, {a, b, c}, limits, random_source{1}}
    {
        tell(homed_servers{{b}});
        tell(announcement{first});
    }

    actions tell(const event& what) { return watcher.step(what, now); }

    actions pass(duration time)
    {
        actions done;
        for (const time_point end = now + time; now < end;) {
            now += 20ms;
            const actions step = tell(tick{});
            done.insert(done.end(), step.begin(), step.end());
        }
        return done;
    }

    /// Server b has heard nothing from the primary; \p votes says that c has not either.
    actions lose_primary(bool votes = true)
    {
        pass(1200ms);
        tell(claim_read{platform_status::done, {}});
        actions done =
            tell(health_report{b, server_role::replica, first, term{1}, term{1}, {term{1}, 7}, 5s});
        if (votes) {
            tell(suspicion{peer, c, first, true});
        }
        const actions more = pass(150ms);
        done.insert(done.end(), more.begin(), more.end());
        return done;
    }

    /// From the claim to the requested grants.
    claim_id claim()
    {
        const auto writes = all<write_claim>(lose_primary());
        REQUIRE(writes.size() == 1);
        const auto asks = all<request_grant>(
            tell(claim_written{writes[0].row.claim, platform_status::done, writes[0].row}));
        REQUIRE(asks.size() == 3);
        CHECK(asks[0].requested_term == term{2});
        return asks[0].claim;
    }

    actions grant(const claim_id& to, server_id server, log_position last)
    {
        return tell(grant_answer{to, server, term{2}, true, term{2}, last});
    }

    time_point now{1s};
    group_watcher watcher;
};

} // namespace

TEST_CASE("nothing is claimed or fenced without the agreement of a majority's homes")
{
    bench bench;
    const actions done = bench.lose_primary(false);
    CHECK(all<send_suspicion>(done).size() == 1);
    CHECK(all<write_claim>(done).empty());
    CHECK(all<request_grant>(bench.pass(2s)).empty());
}

TEST_CASE("the most advanced of the granting majority is promoted, announced and recorded")
{
    bench bench;
    const claim_id claim = bench.claim();
    CHECK(all<promote>(bench.grant(claim, c, {term{1}, 8})).empty());
    const auto orders = all<promote>(bench.grant(claim, b, {term{0}, 90}));
    REQUIRE(orders.size() == 1);
    CHECK(orders[0] == promote{c, term{2}, claim, {term{1}, 8}});
    const actions done =
        bench.tell(promote_answer{claim, c, term{2}, promotion_answer::promoted, term{2}});
    CHECK(all<announce>(done).size() == 1);
    CHECK(all<follow_primary>(done) == std::vector{follow_primary{b, {term{2}, c}}});
    REQUIRE(all<write_claim>(done).size() == 1);
    CHECK(all<write_claim>(done)[0].row.phase == claim_phase::recorded);
    CHECK(bench.watcher.known_primary() == primary_view{term{2}, c});
}

TEST_CASE("a round promotes one server only, whatever is answered later")
{
    bench bench;
    const claim_id claim = bench.claim();
    bench.grant(claim, b, {term{1}, 7});
    bench.grant(claim, c, {term{1}, 7});
    actions done = bench.grant(claim, a, {term{1}, 99});
    const actions more = bench.pass(600ms);
    done.insert(done.end(), more.begin(), more.end());
    for (const auto& order : all<promote>(done)) {
        CHECK(order.server != a);
    }
}

TEST_CASE("a claim whose answer was lost is recognised by its id")
{
    bench bench;
    const auto writes = all<write_claim>(bench.lose_primary());
    REQUIRE(writes.size() == 1);
    bench.tell(claim_written{writes[0].row.claim, platform_status::unavailable, {}});
    const auto asks =
        all<request_grant>(bench.tell(claim_read{platform_status::done, writes[0].row}));
    CHECK(asks.size() == 3);
}

TEST_CASE("an open claim of another is left alone, then superseded by a higher term")
{
    bench bench;
    const auto writes = all<write_claim>(bench.lose_primary());
    REQUIRE(writes.size() == 1);
    const claim_row taken{1, term{2}, {peer, 1}, claim_phase::claimed, first};
    bench.tell(claim_written{writes[0].row.claim, platform_status::conflict, taken});
    CHECK(all<write_claim>(bench.pass(900ms)).empty());
    bench.tell(suspicion{peer, c, first, true});
    bench.tell(health_report{b, server_role::replica, first, term{2}, term{2}, {}, 5s});
    const auto later = all<write_claim>(bench.pass(300ms));
    REQUIRE_FALSE(later.empty());
    CHECK(later[0].row.version == 2);
    CHECK(later[0].row.claimed == term{3});
}

TEST_CASE("a platform that is down is passed by or waited for, as the policy says")
{
    const auto policy = GENERATE(platform_policy::proceed_by_grants, platform_policy::wait);
    settings limits;
    limits.platform_down_policy = policy;
    bench bench{limits};
    bench.lose_primary();
    const bool grants_requested = !all<request_grant>(bench.pass(450ms)).empty();
    CHECK(grants_requested == (policy == platform_policy::proceed_by_grants));
}

TEST_CASE("a hand-over ends the old primary's office, then promotes the target in one step")
{
    bench bench;
    bench.tell(claim_read{platform_status::done, {}});
    const auto writes = all<write_claim>(bench.tell(operator_order{5, c}));
    REQUIRE(writes.size() == 1);
    const claim_id claim = writes[0].row.claim;
    const auto asks =
        all<request_grant>(bench.tell(claim_written{claim, platform_status::done, writes[0].row}));
    REQUIRE(asks.size() == 2); // not the target: it still takes the old primary's last entries
    const auto orders = all<promote>(bench.grant(claim, a, {term{1}, 9}));
    REQUIRE(orders.size() == 1);
    CHECK(orders[0] == promote{c, term{2}, claim, {term{1}, 9}});
    bench.tell(promote_answer{claim, c, term{2}, promotion_answer::behind, term{1}});
    CHECK(all<promote>(bench.pass(20ms)).size() == 1);
    const auto ended = all<order_finished>(
        bench.tell(promote_answer{claim, c, term{2}, promotion_answer::promoted, term{2}}));
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].outcome == order_outcome::done);
}

TEST_CASE("an order leaves another daemon's open claim alone and ends with its primary")
{
    bench bench;
    bench.tell(claim_read{platform_status::done, {}});
    const auto writes = all<write_claim>(bench.tell(operator_order{5, c}));
    const claim_row taken{1, term{2}, {peer, 1}, claim_phase::claimed, first};
    bench.tell(claim_written{writes[0].row.claim, platform_status::conflict, taken});
    CHECK(all<request_grant>(bench.pass(900ms)).empty());
    const auto ended = all<order_finished>(bench.tell(announcement{{term{2}, b}}));
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].outcome == order_outcome::superseded);
    CHECK(all<request_grant>(bench.pass(2s)).empty());
}

TEST_CASE("silence before a new primary took office does not count against it")
{
    bench bench;
    bench.tell(health_report{b, server_role::replica, first, term{1}, term{1}, {}, 5s});
    CHECK(all<send_suspicion>(bench.pass(1100ms)).empty());
}

TEST_CASE("frozen automation only acts on orders")
{
    bench bench;
    bench.tell(set_automation{false});
    CHECK(all<write_claim>(bench.lose_primary()).empty());
    CHECK(all<write_claim>(bench.tell(operator_order{1, {}})).size() == 1);
}

TEST_CASE("a watcher that was paused forgets its silence, votes and round")
{
    bench bench;
    bench.claim();
    CHECK(bench.watcher.in_round());
    bench.now += 3s;
    const actions done = bench.tell(tick{});
    CHECK_FALSE(bench.watcher.in_round());
    CHECK(all<request_grant>(done).empty());
}

TEST_CASE("a primary that its claimant left unannounced is announced and recorded by its home")
{
    bench bench;
    const primary_view second{term{2}, b};
    const health_report report{b, server_role::primary, second, term{2}, term{2}, {term{2}, 1}, 0s};
    CHECK(all<announce>(bench.tell(report)).size() == 1);
    actions done;
    for (int i = 0; i < 25; ++i) {
        const actions step = bench.pass(100ms);
        done.insert(done.end(), step.begin(), step.end());
        bench.tell(claim_read{platform_status::done, {1, term{2}, {peer, 1}, {}, first}});
        bench.tell(report);
    }
    REQUIRE_FALSE(all<write_claim>(done).empty());
    CHECK(all<write_claim>(done)[0].row.primary == second);
}

TEST_CASE("a watcher leaves a rival that collects grants alone while the platform is down")
{
    bench bench;
    (void)bench.lose_primary();
    const bool rival = GENERATE(false, true);
    if (rival) {
        (void)bench.tell(
            health_report{c, server_role::replica, first, term{2}, term{2}, {term{1}, 7}, 5s});
    }
    // Past the wait for the platform, within the shortest backoff.
    CHECK(all<request_grant>(bench.pass(400ms)).empty() == rival);
}
