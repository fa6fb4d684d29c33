// Tests of the promotion coordinator.
#include "gypsumstep/promotion/coordinator.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace gypsumstep;
using namespace gypsumstep::promotion;

namespace {

const time_point start{100s};

template <class T>
std::optional<T> find_action(const std::vector<action>& actions)
{
    for (const action& candidate : actions) {
        if (const auto* found = std::get_if<T>(&candidate)) {
            return *found;
        }
    }
    return std::nullopt;
}

group_state healthy_group()
{
    group_state group;
    group.primary = "p";
    group.replicas = {"r1", "r2"};
    return group;
}

statement::server_status status_at(std::uint64_t index)
{
    statement::server_status status;
    status.known_term = term{3};
    status.received = {term{3}, index};
    return status;
}

const std::vector<survey_answer> both_answers{{"r1", status_at(10)}, {"r2", status_at(12)}};

/// Drives one coordinator; the test provides the store's answers.
struct coordinator_driver {
    coordinator subject{"d1", 7};
    time_point now{start};
    std::vector<action> actions;

    /// Advances time until the coordinator has an action, by at most \p limit.
    void run(const group_state& group, duration limit = 2s)
    {
        const time_point end = now + limit;
        do {
            subject.update(group, now);
            actions = subject.take_actions();
            now += 20ms;
        } while (actions.empty() && now < end);
    }

    void collect() { actions = subject.take_actions(); }
};

shared_state empty_store()
{
    shared_state state;
    state.now = store_time{50'000};
    return state;
}

shared_state store_with_suspicions(std::size_t daemons)
{
    shared_state state = empty_store();
    for (std::size_t i = 0; i < daemons; ++i) {
        state.suspicions.push_back({"d" + std::to_string(i + 1), "p", state.now - store_time{100}});
    }
    return state;
}

/// Removes the primary and provides the answers up to and including the survey.
group_state survey_lost_primary(coordinator_driver& daemon)
{
    group_state group = healthy_group();
    group.primary.reset();
    daemon.run(group);
    daemon.subject.on_shared_state(empty_store(), daemon.now);
    daemon.subject.on_survey(both_answers, daemon.now);
    return group;
}

} // namespace

TEST_CASE("a healthy group is left alone")
{
    coordinator_driver daemon;
    daemon.run(healthy_group());
    CHECK(daemon.actions.empty());
    CHECK_FALSE(daemon.subject.in_progress());
}

TEST_CASE("a group without a primary gets the replica that received most")
{
    coordinator_driver daemon;
    group_state group = healthy_group();
    group.primary.reset();
    daemon.run(group);
    REQUIRE(find_action<read_shared_state>(daemon.actions));
    CHECK_FALSE(find_action<report_suspicion>(daemon.actions));
    daemon.subject.on_shared_state(empty_store(), daemon.now);
    daemon.collect();
    REQUIRE(find_action<survey_replicas>(daemon.actions));
    daemon.subject.on_survey(both_answers, daemon.now);
    daemon.collect();
    const auto claim = find_action<write_claim>(daemon.actions);
    REQUIRE(claim);
    CHECK(claim->next.target == "r2");
    CHECK(claim->next.token == 1);
    CHECK(claim->expected_version == 0);
    daemon.subject.on_claim_written(call_outcome::done, daemon.now);
    daemon.collect();
    CHECK(find_action<order_promotion>(daemon.actions) == order_promotion{"r2", 1});
}

TEST_CASE("one daemon's suspicion does not replace a registered primary")
{
    coordinator_driver daemon;
    group_state group = healthy_group();
    group.primary_failing_for = 2s;
    daemon.run(group);
    REQUIRE(find_action<report_suspicion>(daemon.actions));
    daemon.subject.on_shared_state(store_with_suspicions(1), daemon.now);
    daemon.collect();
    CHECK(daemon.actions.empty());

    daemon.run(group);
    daemon.subject.on_shared_state(store_with_suspicions(coordinator::min_suspicion_quorum),
                                   daemon.now);
    daemon.collect();
    CHECK(find_action<survey_replicas>(daemon.actions));
}

TEST_CASE("old reports and reports of another primary do not count")
{
    coordinator_driver daemon;
    group_state group = healthy_group();
    group.primary_failing_for = 2s;
    daemon.run(group);
    shared_state state = store_with_suspicions(3);
    state.suspicions[0].reported_at = state.now - coordinator::suspicion_lifetime;
    state.suspicions[1].primary = "other";
    daemon.subject.on_shared_state(state, daemon.now);
    daemon.collect();
    CHECK(daemon.actions.empty());
}

TEST_CASE("another daemon's claim is respected until its lease ends")
{
    coordinator_driver daemon;
    group_state group = healthy_group();
    group.primary.reset();
    daemon.run(group);
    shared_state state = empty_store();
    state.claim_version = 9;
    state.current_claim =
        claim{"d2", 4, "r1", state.now - coordinator::claim_lease + store_time{1}};
    daemon.subject.on_shared_state(state, daemon.now);
    daemon.collect();
    CHECK(daemon.actions.empty());

    daemon.run(group);
    state.current_claim->claimed_at = state.now - coordinator::claim_lease;
    daemon.subject.on_shared_state(state, daemon.now);
    daemon.subject.on_survey(both_answers, daemon.now);
    daemon.collect();
    const auto claim = find_action<write_claim>(daemon.actions);
    REQUIRE(claim);
    CHECK(claim->next.token == 5);
    CHECK(claim->expected_version == 9);
}

TEST_CASE("a daemon that loses the claim to another orders nothing")
{
    coordinator_driver daemon;
    (void)survey_lost_primary(daemon);
    daemon.collect();
    daemon.subject.on_claim_written(call_outcome::conflict, daemon.now);
    daemon.collect();
    CHECK(daemon.actions.empty());
}

TEST_CASE("a second target gets a higher token than the first")
{
    coordinator_driver daemon;
    const group_state group = survey_lost_primary(daemon);
    daemon.subject.on_claim_written(call_outcome::done, daemon.now);
    daemon.collect();
    daemon.subject.on_order(call_outcome::conflict, daemon.now);
    daemon.run(group);
    shared_state state = empty_store();
    state.claim_version = 10;
    state.current_claim = claim{"d1", 1, "r2", state.now};
    daemon.subject.on_shared_state(state, daemon.now);
    daemon.subject.on_survey(both_answers, daemon.now);
    daemon.collect();
    const auto claim = find_action<write_claim>(daemon.actions);
    REQUIRE(claim);
    CHECK(claim->next.target == "r1");
    CHECK(claim->next.token == 2);
}

TEST_CASE("an unanswered order is repeated with the same token and target")
{
    coordinator_driver daemon;
    (void)survey_lost_primary(daemon);
    daemon.subject.on_claim_written(call_outcome::done, daemon.now);
    daemon.collect();
    daemon.subject.on_order(call_outcome::failed, daemon.now);
    daemon.collect();
    CHECK(find_action<order_promotion>(daemon.actions) == order_promotion{"r2", 1});
}

TEST_CASE("a draining primary must stop taking writes before the replicas are compared")
{
    coordinator_driver daemon;
    group_state group = healthy_group();
    group.primary_draining = true;
    daemon.run(group);
    daemon.subject.on_shared_state(empty_store(), daemon.now);
    daemon.collect();
    const auto survey = find_action<survey_replicas>(daemon.actions);
    REQUIRE(survey);
    CHECK(survey->demote == "p");
}

TEST_CASE("with synchronous replicas no target is chosen from too few answers")
{
    coordinator_driver daemon;
    group_state group = healthy_group();
    group.primary.reset();
    group.sync_replicas = 1;
    daemon.run(group);
    daemon.subject.on_shared_state(empty_store(), daemon.now);
    daemon.collect();
    CHECK(find_action<survey_replicas>(daemon.actions)->pause);
    daemon.subject.on_survey({{"r1", status_at(10)}, {"r2", std::nullopt}}, daemon.now);
    daemon.collect();
    CHECK(daemon.actions.empty());
}

TEST_CASE("a primary that answers again ends the promotion")
{
    coordinator_driver daemon;
    group_state group = healthy_group();
    group.primary_failing_for = 2s;
    daemon.run(group);
    daemon.subject.update(healthy_group(), daemon.now);
    CHECK_FALSE(daemon.subject.in_progress());
    daemon.subject.on_shared_state(store_with_suspicions(2), daemon.now);
    daemon.collect();
    CHECK(daemon.actions.empty());
}

TEST_CASE("a primary that most daemons reach is not replaced")
{
    coordinator_driver daemon;
    group_state group = healthy_group();
    group.primary_failing_for = 2s;
    daemon.run(group);
    shared_state state = store_with_suspicions(2);
    state.daemons = 7;
    daemon.subject.on_shared_state(state, daemon.now);
    daemon.collect();
    CHECK(daemon.actions.empty());

    daemon.run(group);
    state = store_with_suspicions(4);
    state.daemons = 7;
    daemon.subject.on_shared_state(state, daemon.now);
    daemon.collect();
    CHECK(find_action<survey_replicas>(daemon.actions));
}
