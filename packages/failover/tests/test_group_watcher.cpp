// Tests of one group watcher that receives its events from the test.
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
    for (const auto& action : done) {
        if (const auto* value = std::get_if<T>(&action)) {
            found.push_back(*value);
        }
    }
    return found;
}

/// A watcher whose daemon is the home of server b; server a is the primary of term 1.
struct watcher_fixture {
    explicit watcher_fixture(settings limits = {})
        : watcher{daemon_id{1}, {a, b, c}, limits, random_source{1}}
    {
        send(homed_servers{{b}});
        send(announcement{first});
    }

    actions send(const event& input) { return watcher.step(input, now); }

    actions advance(duration time)
    {
        actions done;
        for (const time_point end = now + time; now < end;) {
            now += 20ms;
            const actions step = send(tick{});
            done.insert(done.end(), step.begin(), step.end());
        }
        return done;
    }

    /// Server b reports no contact to the primary; with \p votes, so does c through another home.
    actions lose_primary(bool votes = true)
    {
        advance(1200ms);
        send(claim_read{platform_status::done, {}});
        actions done =
            send(health_report{b, server_role::replica, first, term{1}, term{1}, {term{1}, 7}, 5s});
        if (votes) {
            send(suspicion{peer, c, first, true});
        }
        const actions more = advance(150ms);
        done.insert(done.end(), more.begin(), more.end());
        return done;
    }

    /// Loses the primary, confirms the claim and expects the grant requests; returns the claim.
    claim_id claim()
    {
        const auto writes = all<write_claim>(lose_primary());
        REQUIRE(writes.size() == 1);
        const auto requests = all<request_grant>(
            send(claim_written{writes[0].row.claim, platform_status::done, writes[0].row}));
        REQUIRE(requests.size() == 3);
        CHECK(requests[0].requested_term == term{2});
        return requests[0].claim;
    }

    actions grant(const claim_id& to, server_id server, log_position last)
    {
        return send(grant_answer{to, server, term{2}, true, term{2}, last});
    }

    time_point now{1s};
    group_watcher watcher;
};

} // namespace

TEST_CASE("nothing is claimed or fenced unless the homes of a majority suspect the primary")
{
    watcher_fixture fixture;
    const actions done = fixture.lose_primary(false);
    CHECK(all<send_suspicion>(done).size() == 1);
    CHECK(all<write_claim>(done).empty());
    CHECK(all<request_grant>(fixture.advance(2s)).empty());
}

TEST_CASE("the most advanced server of the granting majority is promoted, announced and recorded")
{
    watcher_fixture fixture;
    const claim_id claim = fixture.claim();
    CHECK(all<promote>(fixture.grant(claim, c, {term{1}, 8})).empty());
    const auto orders = all<promote>(fixture.grant(claim, b, {term{0}, 90}));
    REQUIRE(orders.size() == 1);
    CHECK(orders[0] == promote{c, term{2}, claim, {term{1}, 8}});
    const actions done =
        fixture.send(promote_answer{claim, c, term{2}, promotion_answer::promoted, term{2}});
    CHECK(all<announce>(done).size() == 1);
    CHECK(all<follow_primary>(done) == std::vector{follow_primary{b, {term{2}, c}}});
    REQUIRE(all<write_claim>(done).size() == 1);
    CHECK(all<write_claim>(done)[0].row.phase == claim_phase::recorded);
    CHECK(fixture.watcher.known_primary() == primary_view{term{2}, c});
}

TEST_CASE("a round promotes only one server, whatever is answered later")
{
    watcher_fixture fixture;
    const claim_id claim = fixture.claim();
    fixture.grant(claim, b, {term{1}, 7});
    fixture.grant(claim, c, {term{1}, 7});
    actions done = fixture.grant(claim, a, {term{1}, 99});
    const actions more = fixture.advance(600ms);
    done.insert(done.end(), more.begin(), more.end());
    for (const auto& order : all<promote>(done)) {
        CHECK(order.server != a);
    }
}

TEST_CASE("a claim whose answer was lost is recognised by its id")
{
    watcher_fixture fixture;
    const auto writes = all<write_claim>(fixture.lose_primary());
    REQUIRE(writes.size() == 1);
    fixture.send(claim_written{writes[0].row.claim, platform_status::unavailable, {}});
    const auto requests =
        all<request_grant>(fixture.send(claim_read{platform_status::done, writes[0].row}));
    CHECK(requests.size() == 3);
}

TEST_CASE(
    "another daemon's open claim is respected until its timeout, then superseded by a higher term")
{
    watcher_fixture fixture;
    const auto writes = all<write_claim>(fixture.lose_primary());
    REQUIRE(writes.size() == 1);
    const claim_row taken{1, term{2}, {peer, 1}, claim_phase::claimed, first};
    fixture.send(claim_written{writes[0].row.claim, platform_status::conflict, taken});
    CHECK(all<write_claim>(fixture.advance(900ms)).empty());
    fixture.send(suspicion{peer, c, first, true});
    fixture.send(health_report{b, server_role::replica, first, term{2}, term{2}, {}, 5s});
    const auto later = all<write_claim>(fixture.advance(300ms));
    REQUIRE_FALSE(later.empty());
    CHECK(later[0].row.version == 2);
    CHECK(later[0].row.claimed == term{3});
}

TEST_CASE("the policy decides whether a round proceeds while the platform is down")
{
    const auto policy = GENERATE(platform_policy::proceed_by_grants, platform_policy::wait);
    settings limits;
    limits.platform_down_policy = policy;
    watcher_fixture fixture{limits};
    fixture.lose_primary();
    const bool grants_requested = !all<request_grant>(fixture.advance(450ms)).empty();
    CHECK(grants_requested == (policy == platform_policy::proceed_by_grants));
}

TEST_CASE("a hand-over makes the old primary step down, then promotes the target in one step")
{
    watcher_fixture fixture;
    fixture.send(claim_read{platform_status::done, {}});
    const auto writes = all<write_claim>(fixture.send(operator_order{5, c}));
    REQUIRE(writes.size() == 1);
    const claim_id claim = writes[0].row.claim;
    const auto requests = all<request_grant>(
        fixture.send(claim_written{claim, platform_status::done, writes[0].row}));
    REQUIRE(requests.size() ==
            2); // not the target, which must still accept the old primary's last entries
    const auto orders = all<promote>(fixture.grant(claim, a, {term{1}, 9}));
    REQUIRE(orders.size() == 1);
    CHECK(orders[0] == promote{c, term{2}, claim, {term{1}, 9}});
    fixture.send(promote_answer{claim, c, term{2}, promotion_answer::behind, term{1}});
    CHECK(all<promote>(fixture.advance(20ms)).size() == 1);
    const auto ended = all<order_finished>(
        fixture.send(promote_answer{claim, c, term{2}, promotion_answer::promoted, term{2}}));
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].outcome == order_outcome::done);
}

TEST_CASE("an order respects another daemon's open claim and ends with that daemon's primary")
{
    watcher_fixture fixture;
    fixture.send(claim_read{platform_status::done, {}});
    const auto writes = all<write_claim>(fixture.send(operator_order{5, c}));
    const claim_row taken{1, term{2}, {peer, 1}, claim_phase::claimed, first};
    fixture.send(claim_written{writes[0].row.claim, platform_status::conflict, taken});
    CHECK(all<request_grant>(fixture.advance(900ms)).empty());
    const auto ended = all<order_finished>(fixture.send(announcement{{term{2}, b}}));
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].outcome == order_outcome::superseded);
    CHECK(all<request_grant>(fixture.advance(2s)).empty());
}

TEST_CASE("silence from before a server became primary does not count against it")
{
    watcher_fixture fixture;
    fixture.send(health_report{b, server_role::replica, first, term{1}, term{1}, {}, 5s});
    CHECK(all<send_suspicion>(fixture.advance(1100ms)).empty());
}

TEST_CASE("a watcher with frozen automation acts only on orders")
{
    watcher_fixture fixture;
    fixture.send(set_automation{false});
    CHECK(all<write_claim>(fixture.lose_primary()).empty());
    CHECK(all<write_claim>(fixture.send(operator_order{1, {}})).size() == 1);
}

TEST_CASE("a watcher that was paused discards silence, votes and its round")
{
    watcher_fixture fixture;
    fixture.claim();
    CHECK(fixture.watcher.in_round());
    fixture.now += 3s;
    const actions done = fixture.send(tick{});
    CHECK_FALSE(fixture.watcher.in_round());
    CHECK(all<request_grant>(done).empty());
}

TEST_CASE("a primary whose claimant did not announce it is announced and recorded by its home")
{
    watcher_fixture fixture;
    const primary_view second{term{2}, b};
    const health_report report{b, server_role::primary, second, term{2}, term{2}, {term{2}, 1}, 0s};
    CHECK(all<announce>(fixture.send(report)).size() == 1);
    actions done;
    for (int i = 0; i < 25; ++i) {
        const actions step = fixture.advance(100ms);
        done.insert(done.end(), step.begin(), step.end());
        fixture.send(claim_read{platform_status::done, {1, term{2}, {peer, 1}, {}, first}});
        fixture.send(report);
    }
    REQUIRE_FALSE(all<write_claim>(done).empty());
    CHECK(all<write_claim>(done)[0].row.primary == second);
}

TEST_CASE(
    "a watcher does not compete with a claimant that collects grants while the platform is down")
{
    watcher_fixture fixture;
    (void)fixture.lose_primary();
    const bool rival = GENERATE(false, true);
    if (rival) {
        (void)fixture.send(
            health_report{c, server_role::replica, first, term{2}, term{2}, {term{1}, 7}, 5s});
    }
    // Later than the platform timeout, but within the shortest backoff.
    CHECK(all<request_grant>(fixture.advance(400ms)).empty() == rival);
}
