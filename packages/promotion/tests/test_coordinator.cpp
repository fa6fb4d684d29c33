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
    group.saw_primary = true;
    group.leaderless_confirmed = true;
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

const survey_result both_answers{{{"r1", status_at(10)}, {"r2", status_at(12)}}, {}};

/// Drives one coordinator; the test provides the store's answers.
struct coordinator_driver {
    coordinator subject{"ledger", "d1", 7};
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

    /// Provides the store's state and, if the daemon claims the survey, what follows.
    void answer_state(shared_state state)
    {
        subject.on_shared_state(state, now);
        collect();
        const auto claimed = find_action<write_claim>(actions);
        if (!claimed || !claimed->next.target.empty()) {
            return;
        }
        state.current_claim = claimed->next;
        state.claim_version = claimed->expected_version + 1;
        subject.on_claim_written(call_outcome::done, now);
        collect();
        CHECK(find_action<read_shared_state>(actions));
        subject.on_shared_state(state, now);
        collect();
    }
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
        claim{"d2", 4, "r1", state.now - coordinator::claim_lease + store_time{1}, {}};
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
    state.current_claim = claim{"d1", 1, "r2", state.now, {}};
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
    CHECK(survey->reference == "p");
    CHECK(survey->demote);
}

TEST_CASE("with synchronous replicas no target is chosen from too few answers")
{
    coordinator_driver daemon;
    group_state group = healthy_group();
    group.primary.reset();
    group.sync_replicas = 1;
    daemon.run(group);
    daemon.answer_state(empty_store());
    CHECK(find_action<survey_replicas>(daemon.actions)->pause);
    daemon.subject.on_survey({{{"r1", status_at(10)}, {"r2", std::nullopt}}, {}}, daemon.now);
    daemon.collect();
    CHECK(daemon.actions.empty());
}

TEST_CASE("with synchronous replicas every registered server is asked and must answer")
{
    group_state group = healthy_group();
    group.primary.reset();
    group.sync_replicas = 1;
    group.other_members = {"d"};
    const auto target = [&group](const std::optional<statement::server_status>& draining) {
        coordinator_driver daemon;
        daemon.run(group);
        daemon.answer_state(empty_store());
        const auto survey = find_action<survey_replicas>(daemon.actions);
        CHECK(survey->pause);
        CHECK(survey->servers == std::vector<std::string>{"r1", "r2", "d"});
        daemon.subject.on_survey(
            {{{"r1", status_at(10)}, {"r2", status_at(12)}, {"d", draining}}, {}}, daemon.now);
        daemon.collect();
        const auto claim = find_action<write_claim>(daemon.actions);
        return claim ? claim->next.target : std::string{};
    };
    CHECK(target(status_at(15)) == "d");
    CHECK(target(status_at(12)) == "r2");
    CHECK(target(status_at(11)) == "r2");
    CHECK(target(std::nullopt).empty());
}

TEST_CASE("with synchronous replicas a refused target is not replaced by one that received less")
{
    coordinator_driver daemon;
    group_state group = healthy_group();
    group.primary.reset();
    group.sync_replicas = 1;
    daemon.run(group);
    daemon.answer_state(empty_store());
    daemon.subject.on_survey(both_answers, daemon.now);
    daemon.subject.on_claim_written(call_outcome::done, daemon.now);
    daemon.collect();
    CHECK(find_action<order_promotion>(daemon.actions)->target == "r2");
    daemon.subject.on_order(call_outcome::conflict, daemon.now);
    daemon.run(group);
    daemon.answer_state(empty_store());
    daemon.subject.on_survey(both_answers, daemon.now);
    daemon.collect();
    CHECK_FALSE(find_action<write_claim>(daemon.actions));
}

TEST_CASE("with synchronous replicas a stopped primary's position decides, or else all logs")
{
    coordinator_driver daemon;
    group_state group = healthy_group();
    group.primary_draining = true;
    group.sync_replicas = 1;
    group.other_members = {"d"};
    const auto next_survey = [&] {
        daemon.run(group);
        daemon.answer_state(empty_store());
        return find_action<survey_replicas>(daemon.actions);
    };
    const auto check = next_survey();
    CHECK(check->reference == "p");
    CHECK_FALSE(check->demote);
    CHECK_FALSE(check->pause);
    daemon.subject.on_survey({both_answers.answers, log_position{term{3}, 12}}, daemon.now);
    daemon.collect();
    const auto survey = find_action<survey_replicas>(daemon.actions);
    REQUIRE(survey);
    CHECK(survey->demote);
    CHECK_FALSE(survey->pause);
    daemon.subject.on_survey({both_answers.answers, log_position{term{3}, 20}}, daemon.now);
    daemon.collect();
    CHECK_FALSE(find_action<write_claim>(daemon.actions));

    // The primary leads no more, so its log is one of those that are compared.
    group.primary.reset();
    group.primary_draining = false;
    group.other_members = {"d", "p"};
    const auto comparison = next_survey();
    CHECK(comparison->pause);
    CHECK(comparison->servers == std::vector<std::string>{"r1", "r2", "d", "p"});
    daemon.subject.on_survey(
        {{{"r1", status_at(10)}, {"r2", status_at(12)}, {"d", status_at(12)}, {"p", status_at(20)}},
         {}},
        daemon.now);
    daemon.collect();
    CHECK(find_action<write_claim>(daemon.actions)->next.target == "p");
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

TEST_CASE("a daemon that has known no primary needs a quorum while others may use one")
{
    coordinator_driver daemon;
    group_state group = healthy_group();
    group.primary.reset();
    group.saw_primary = false;
    daemon.run(group);
    CHECK(daemon.actions.empty()); // the primary may only be unlisted
    group.leaderless_for = coordinator::unlisted_grace;
    daemon.run(group);
    CHECK(find_action<report_suspicion>(daemon.actions) == report_suspicion{""});
    // The suspicions of the daemons that cannot reach the primary do not count for it.
    daemon.subject.on_shared_state(store_with_suspicions(4), daemon.now);
    daemon.collect();
    CHECK(daemon.actions.empty());

    daemon.run(group);
    shared_state state = empty_store();
    state.suspicions = {{"d1", "", state.now}, {"d2", "", state.now}};
    daemon.subject.on_shared_state(state, daemon.now);
    daemon.collect();
    CHECK(find_action<survey_replicas>(daemon.actions));
}

TEST_CASE("a list that was read before the primary was lost is no evidence")
{
    coordinator_driver daemon;
    group_state group = healthy_group();
    group.primary.reset();
    group.leaderless_confirmed = false;
    daemon.run(group);
    CHECK(daemon.actions.empty());
    group.leaderless_confirmed = true;
    daemon.run(group);
    CHECK_FALSE(daemon.actions.empty());
}

TEST_CASE("a survey that most servers did not answer is repeated before a target is chosen")
{
    coordinator_driver daemon;
    group_state group = healthy_group();
    group.primary.reset();
    group.replicas = {"r1", "r2", "r3"};
    const survey_result one_answer{{{"r1", status_at(10)}, {"r2", {}}, {"r3", {}}}, {}};
    for (int survey = 0; survey < 2; ++survey) {
        daemon.run(group);
        daemon.subject.on_shared_state(empty_store(), daemon.now);
        daemon.subject.on_survey(one_answer, daemon.now);
        daemon.collect();
        CHECK_FALSE(find_action<write_claim>(daemon.actions));
    }
    daemon.run(group);
    daemon.subject.on_shared_state(empty_store(), daemon.now);
    daemon.subject.on_survey(one_answer, daemon.now);
    daemon.collect();
    CHECK(find_action<write_claim>(daemon.actions)->next.target == "r1");
}

TEST_CASE("a daemon that has known no primary promotes once none can be in use")
{
    coordinator_driver daemon;
    group_state group = healthy_group();
    group.primary.reset();
    group.saw_primary = false;
    group.leaderless_for = coordinator::unlisted_delay;
    daemon.run(group);
    daemon.subject.on_shared_state(empty_store(), daemon.now);
    daemon.collect();
    CHECK(find_action<survey_replicas>(daemon.actions));
}

namespace {

group_state unfenced_group_without_primary()
{
    group_state group = healthy_group();
    group.primary.reset();
    group.old_primary_stops = false;
    return group;
}

/// Provides the answers up to the survey, which follows the hand-over.
void hand_over(coordinator_driver& daemon, const group_state& group,
               const std::optional<claim>& earlier = {})
{
    daemon.run(group);
    shared_state state = empty_store();
    state.current_claim = earlier;
    daemon.subject.on_shared_state(state, daemon.now);
    daemon.collect();
    const auto lead = find_action<write_claim>(daemon.actions);
    REQUIRE(lead);
    daemon.subject.on_claim_written(call_outcome::done, daemon.now);
    daemon.subject.on_handed_over({}, daemon.now);
    state.current_claim = lead->next;
    state.claim_version = 5;
    daemon.subject.on_shared_state(state, daemon.now);
    daemon.collect();
    REQUIRE(find_action<survey_replicas>(daemon.actions));
}

} // namespace

TEST_CASE("where the old primary does not stop, the lead is handed over before a target is chosen")
{
    coordinator_driver daemon;
    group_state group = healthy_group();
    group.old_primary_stops = false;
    group.primary_draining = true;
    daemon.run(group);
    daemon.subject.on_shared_state(empty_store(), daemon.now);
    daemon.collect();
    const auto lead = find_action<write_claim>(daemon.actions);
    REQUIRE(lead);
    CHECK(lead->next.target.empty());
    CHECK(lead->next.former == "p");
    CHECK_FALSE(find_action<survey_replicas>(daemon.actions));

    daemon.subject.on_claim_written(call_outcome::done, daemon.now);
    daemon.collect();
    CHECK(find_action<hand_over_lead>(daemon.actions) == hand_over_lead{{"ledger", 1, ""}, "p"});
    daemon.subject.on_handed_over({log_position{term{3}, 11}}, daemon.now);
    daemon.collect();
    REQUIRE(find_action<read_shared_state>(daemon.actions));

    shared_state state = empty_store();
    state.current_claim = lead->next;
    state.claim_version = 5;
    daemon.subject.on_shared_state(state, daemon.now);
    daemon.collect();
    const auto survey = find_action<survey_replicas>(daemon.actions);
    REQUIRE(survey);
    CHECK(survey->required == log_position{term{3}, 11});
    CHECK_FALSE(survey->demote);
    daemon.subject.on_survey(both_answers, daemon.now);
    daemon.collect();
    const auto claim = find_action<write_claim>(daemon.actions);
    REQUIRE(claim);
    CHECK(claim->next.target == "r2");
    CHECK(claim->next.token == 2);
    CHECK(claim->expected_version == 5);
    daemon.subject.on_claim_written(call_outcome::done, daemon.now);
    daemon.collect();
    CHECK(find_action<order_promotion>(daemon.actions) == order_promotion{"r2", 2});
}

TEST_CASE("a claim that was taken over during the hand-over is given up")
{
    coordinator_driver daemon;
    daemon.run(unfenced_group_without_primary());
    daemon.subject.on_shared_state(empty_store(), daemon.now);
    daemon.subject.on_claim_written(call_outcome::done, daemon.now);
    daemon.subject.on_handed_over({}, daemon.now);
    shared_state state = empty_store();
    state.current_claim = claim{"d2", 2, "", state.now, {}};
    daemon.collect();
    daemon.subject.on_shared_state(state, daemon.now);
    daemon.collect();
    CHECK(daemon.actions.empty());
}

TEST_CASE("a claimant that was suspended gives no order under its old claim")
{
    coordinator_driver daemon;
    const group_state group = unfenced_group_without_primary();
    hand_over(daemon, group);
    daemon.subject.on_survey(both_answers, daemon.now);
    daemon.now += coordinator::claim_lease - coordinator::order_margin;
    daemon.subject.on_claim_written(call_outcome::done, daemon.now);
    daemon.collect();
    CHECK_FALSE(find_action<order_promotion>(daemon.actions));
}

TEST_CASE("an earlier claim's target is kept, since its order may still be carried out")
{
    coordinator_driver daemon;
    const group_state group = unfenced_group_without_primary();
    const claim earlier{"d2", 4, "r1", store_time{0}, "p"};
    hand_over(daemon, group, earlier);
    daemon.subject.on_survey(both_answers, daemon.now);
    daemon.collect();
    // r2 has received more.
    CHECK(find_action<write_claim>(daemon.actions)->next.target == "r1");
}

TEST_CASE("a former primary that the quorum suspects is a target only without another")
{
    coordinator_driver daemon;
    group_state group = healthy_group();
    group.old_primary_stops = false;
    group.primary_failing_for = 2s;
    group.replicas = {"r1", "p"};
    daemon.run(group);
    daemon.subject.on_shared_state(store_with_suspicions(2), daemon.now);
    daemon.collect();
    REQUIRE(find_action<write_claim>(daemon.actions));
    const claim lead = find_action<write_claim>(daemon.actions)->next;
    CHECK(lead.former == "p");
    daemon.subject.on_claim_written(call_outcome::done, daemon.now);
    daemon.subject.on_handed_over({}, daemon.now);
    shared_state state = empty_store();
    state.current_claim = lead;
    daemon.subject.on_shared_state(state, daemon.now);
    daemon.collect();
    REQUIRE(find_action<survey_replicas>(daemon.actions));
    CHECK(find_action<survey_replicas>(daemon.actions)->servers == std::vector<std::string>{"r1"});
}

// ONE: with the store, the claim that another daemon orders under may be gone.
TEST_CASE("after the store went back, a promotion begins anew once lost claims are there again")
{
    coordinator_driver daemon;
    const group_state group = survey_lost_primary(daemon);
    daemon.collect();
    REQUIRE(find_action<write_claim>(daemon.actions));
    const time_point back = daemon.now;
    CHECK(daemon.subject.on_store_rolled_back(back));
    // Answers of the era before are of no use any more.
    daemon.subject.on_claim_written(call_outcome::done, daemon.now);
    daemon.collect();
    CHECK(daemon.actions.empty());
    daemon.run(group, 4s);
    CHECK(find_action<read_shared_state>(daemon.actions));
    CHECK(daemon.now - back >= coordinator::claims_restored_after);
}

TEST_CASE("a claim from a time that the store's clock has not reached yet is not respected")
{
    coordinator_driver daemon;
    group_state group = healthy_group();
    group.primary.reset();
    daemon.run(group);
    shared_state state = empty_store();
    state.current_claim = claim{"d2", 4, "r1", state.now + store_time{60'000}, {}};
    daemon.subject.on_shared_state(state, daemon.now);
    daemon.collect();
    CHECK(find_action<survey_replicas>(daemon.actions));
}

namespace {

/// Surveys with the given answers and returns the claimed target; empty if there is none.
std::string claimed_target(coordinator_driver& daemon, const group_state& group,
                           const std::vector<survey_answer>& answers)
{
    daemon.run(group);
    daemon.answer_state(empty_store());
    const auto survey = find_action<survey_replicas>(daemon.actions);
    if (!survey) {
        return {};
    }
    CHECK(survey->servers.size() == answers.size());
    daemon.subject.on_survey({answers, {}}, daemon.now);
    daemon.collect();
    const auto claim = find_action<write_claim>(daemon.actions);
    return claim ? claim->next.target : std::string{};
}

} // namespace

// A group without a ready replica stayed without a leader for as long as its replicas drained.
TEST_CASE("a group whose servers all drain gets a leader once its primary is lost")
{
    group_state group = healthy_group();
    group.primary.reset();
    group.other_members = std::exchange(group.replicas, {});
    for (const std::uint32_t sync_replicas : {0U, 1U}) {
        group.sync_replicas = sync_replicas;
        coordinator_driver daemon;
        CHECK(claimed_target(daemon, group, both_answers.answers) == "r2");
    }
    // With synchronous replicas, a server that may hold more is waited for.
    coordinator_driver daemon;
    const std::vector<survey_answer> one{{"r1", status_at(10)}, {"r2", {}}};
    CHECK(claimed_target(daemon, group, one).empty());
    CHECK(daemon.subject.obstacle() ==
          "no server that answered is sure to hold every acknowledged commit");
}

TEST_CASE("a registered primary that fails is replaced by a draining replica, one that drains not")
{
    group_state group = healthy_group();
    group.other_members = std::exchange(group.replicas, {});
    group.primary_draining = true;
    coordinator_driver daemon;
    daemon.run(group);
    CHECK(daemon.actions.empty());
    group.primary_draining = false;
    group.primary_failing_for = 2s;
    daemon.run(group);
    daemon.subject.on_shared_state(store_with_suspicions(2), daemon.now);
    daemon.collect();
    REQUIRE(find_action<survey_replicas>(daemon.actions));
    CHECK(find_action<survey_replicas>(daemon.actions)->servers ==
          std::vector<std::string>{"r1", "r2"});
}

TEST_CASE("a daemon that promotes nobody tells why")
{
    coordinator_driver daemon;
    group_state group = healthy_group();
    group.primary.reset();
    group.leaderless_confirmed = false;
    daemon.run(group);
    CHECK(daemon.subject.obstacle() ==
          "no list of the servers was read since the group is without a leader");
    group.leaderless_confirmed = true;
    daemon.run(group);
    daemon.subject.on_shared_state(std::nullopt, daemon.now);
    CHECK(daemon.subject.obstacle() == "the store does not answer");
    daemon.run(group);
    shared_state state = empty_store();
    state.current_claim = claim{"d2", 4, "r1", state.now, {}};
    daemon.subject.on_shared_state(state, daemon.now);
    CHECK(daemon.subject.obstacle() == "another daemon holds the claim");
}

// LOST: of two daemons that survey at the same time, the one that gives up has the paused replicas
// receive the log again, while the other one orders by the positions that it was told.
TEST_CASE("servers are paused only under a claim, and an order does not outlive the pause")
{
    coordinator_driver daemon;
    group_state group = healthy_group();
    group.primary.reset();
    group.sync_replicas = 1;
    daemon.run(group);
    const time_point asked_at = daemon.now;
    daemon.subject.on_shared_state(empty_store(), daemon.now);
    daemon.collect();
    CHECK_FALSE(find_action<survey_replicas>(daemon.actions));
    const auto claimed = find_action<write_claim>(daemon.actions);
    REQUIRE(claimed);
    CHECK(claimed->next.target.empty());
    daemon.subject.on_claim_written(call_outcome::conflict, daemon.now);
    daemon.collect();
    CHECK(daemon.actions.empty());

    daemon.run(group);
    daemon.answer_state(empty_store());
    const auto survey = find_action<survey_replicas>(daemon.actions);
    REQUIRE(survey);
    CHECK(survey->exclusive_until > asked_at);
    CHECK(survey->exclusive_until <= daemon.now + coordinator::claim_lease);
    daemon.subject.on_survey(both_answers, daemon.now);
    daemon.collect();
    REQUIRE(find_action<write_claim>(daemon.actions));
    daemon.now = survey->exclusive_until - coordinator::order_margin;
    daemon.subject.on_claim_written(call_outcome::done, daemon.now);
    daemon.collect();
    CHECK_FALSE(find_action<order_promotion>(daemon.actions));
}

TEST_CASE("a daemon whose surveys find no target leaves the claim to others after its lease")
{
    coordinator_driver daemon;
    group_state group = healthy_group();
    group.primary.reset();
    group.sync_replicas = 1;
    const survey_result silence{{{"r1", {}}, {"r2", {}}}, {}};
    daemon.run(group);
    shared_state state = empty_store();
    daemon.answer_state(state);
    REQUIRE(find_action<survey_replicas>(daemon.actions));
    state.current_claim = claim{"d1", 1, "", state.now, {}};
    state.claim_version = 1;
    daemon.subject.on_survey(silence, daemon.now);
    // The claim's lease is not renewed for the next survey.
    daemon.run(group);
    state.now += store_time{600};
    daemon.subject.on_shared_state(state, daemon.now);
    daemon.collect();
    CHECK_FALSE(find_action<write_claim>(daemon.actions));
    REQUIRE(find_action<survey_replicas>(daemon.actions));
    daemon.subject.on_survey(silence, daemon.now);
    daemon.run(group);
    state.now += store_time{1500};
    daemon.subject.on_shared_state(state, daemon.now);
    daemon.collect();
    CHECK(daemon.actions.empty());
}

namespace {

using servers = std::vector<std::string>;

group_state synchronous_group()
{
    group_state group = healthy_group();
    group.sync_replicas = 1;
    return group;
}

group_state lost_primary_of(const group_state& group)
{
    group_state lost = group;
    lost.primary.reset();
    return lost;
}

/// The store's rows, as far as one coordinator reads and writes them.
struct fake_store {
    shared_state state{empty_store()};

    /// Answers the coordinator's reads and writes until it does neither; its other actions are left
    /// in \c daemon.actions.
    void serve(coordinator_driver& daemon)
    {
        std::vector<action> others;
        for (bool served = true; served;) {
            served = false;
            for (const action& next : std::exchange(daemon.actions, {})) {
                if (std::holds_alternative<read_shared_state>(next)) {
                    daemon.subject.on_shared_state(state, daemon.now);
                    served = true;
                }
                else if (const auto* write = std::get_if<write_claim>(&next)) {
                    const bool expected = write->expected_version == state.claim_version;
                    if (expected) {
                        state.current_claim = write->next;
                        ++state.claim_version;
                    }
                    daemon.subject.on_claim_written(
                        expected ? call_outcome::done : call_outcome::conflict, daemon.now);
                    served = true;
                }
                else {
                    others.push_back(next);
                }
            }
            daemon.collect();
        }
        daemon.actions = std::move(others);
    }

    /// Runs the coordinator until it does something else than to use the store.
    void run(coordinator_driver& daemon, const group_state& group, duration limit = 6s)
    {
        const time_point end = daemon.now + limit;
        do {
            const time_point before = daemon.now;
            daemon.run(group, 20ms);
            state.now += std::chrono::duration_cast<store_time>(daemon.now - before);
            serve(daemon);
        } while (daemon.actions.empty() && daemon.now < end);
    }
};

/// Plays the promotion of r2 up to its first order, which gets no answer.
void order_without_answer(coordinator_driver& daemon, fake_store& store, const group_state& group)
{
    store.run(daemon, lost_primary_of(group));
    REQUIRE(find_action<survey_replicas>(daemon.actions));
    daemon.subject.on_survey(both_answers, daemon.now);
    daemon.collect();
    store.serve(daemon);
    REQUIRE(find_action<order_promotion>(daemon.actions));
    CHECK(find_action<order_promotion>(daemon.actions)->target == "r2");
}

} // namespace

// An order that got no answer was carried out after the primary had answered again, and rolled back
// commits that it had acknowledged meanwhile.
TEST_CASE("an order without an answer is made void once the primary answers again")
{
    coordinator_driver daemon;
    fake_store store;
    const group_state group = healthy_group();
    order_without_answer(daemon, store, group);
    CHECK(store.state.current_claim->ordered == servers{"r2"});
    daemon.run(group, 1s);
    daemon.subject.on_order(call_outcome::failed, daemon.now);
    daemon.collect();
    store.run(daemon, group);
    const std::uint64_t token = store.state.current_claim->token;
    CHECK(find_action<order_promotion>(daemon.actions) == order_promotion{"p", token});
    CHECK(token > 1);
    CHECK_FALSE(store.state.current_claim->is_settled());
    // It is repeated until it is answered.
    daemon.subject.on_order(call_outcome::failed, daemon.now);
    daemon.collect();
    CHECK(find_action<order_promotion>(daemon.actions) == order_promotion{"p", token});
    daemon.subject.on_order(call_outcome::done, daemon.now);
    store.run(daemon, group, 1s);
    CHECK(store.state.current_claim->is_settled());
    CHECK(store.state.current_claim->token == token);
    CHECK(daemon.actions.empty());
    CHECK_FALSE(daemon.subject.is_settling());
}

// LOST: as above, with synchronous replicas. An order that names the old primary could be carried
// out late as well, so the promotion goes on.
TEST_CASE("with synchronous replicas an unanswered order is repeated while replicas stay paused")
{
    coordinator_driver daemon;
    fake_store store;
    group_state group = synchronous_group();
    order_without_answer(daemon, store, group);
    CHECK(daemon.subject.keeps_pause());
    for (int order = 0; order < 12; ++order) {
        daemon.run(group, 1s);
        daemon.subject.on_order(call_outcome::failed, daemon.now);
        daemon.collect();
        store.serve(daemon);
        if (daemon.actions.empty()) {
            store.run(daemon, group);
        }
        if (find_action<survey_replicas>(daemon.actions)) {
            CHECK(find_action<survey_replicas>(daemon.actions)->pause);
            daemon.subject.on_survey(both_answers, daemon.now);
            daemon.collect();
            store.serve(daemon);
        }
        REQUIRE(find_action<order_promotion>(daemon.actions));
        CHECK(find_action<order_promotion>(daemon.actions)->target == "r2");
        CHECK(daemon.subject.keeps_pause());
        CHECK_FALSE(find_action<resume_replicas>(daemon.actions));
    }
    daemon.subject.on_order(call_outcome::done, daemon.now);
    CHECK(daemon.subject.keeps_pause());
    group.primary = "r2";
    group.replicas = {"r1", "p"};
    store.run(daemon, group);
    CHECK_FALSE(daemon.subject.keeps_pause());
    CHECK(find_action<resume_replicas>(daemon.actions));
    CHECK_FALSE(store.state.current_claim->is_settled());
    group.awaits_resume = true;
    store.run(daemon, group, 200ms);
    CHECK_FALSE(store.state.current_claim->is_settled());
    group.awaits_resume = false;
    store.run(daemon, group, 200ms);
    CHECK(store.state.current_claim->is_settled());
}

// LOST: nobody settled the order of a daemon that was killed, and nobody ended its pause.
TEST_CASE("another daemon settles the order of a lost one once its lease has ended")
{
    for (const std::uint32_t sync_replicas : {0U, 1U}) {
        group_state group = healthy_group();
        group.sync_replicas = sync_replicas;
        fake_store store;
        coordinator_driver lost;
        lost.subject = coordinator{"ledger", "d2", 8};
        order_without_answer(lost, store, group);
        const claim left = *store.state.current_claim;
        coordinator_driver daemon;
        store.run(daemon, group, coordinator::claim_lease - 100ms);
        CHECK(daemon.actions.empty());
        CHECK(store.state.current_claim == left);
        store.run(daemon, group);
        if (sync_replicas > 0) {
            REQUIRE(find_action<survey_replicas>(daemon.actions));
            CHECK(store.state.current_claim->ordered == servers{"r2"});
            daemon.subject.on_survey(both_answers, daemon.now);
            daemon.collect();
            store.serve(daemon);
        }
        const std::uint64_t token = store.state.current_claim->token;
        CHECK(token > left.token);
        CHECK(find_action<order_promotion>(daemon.actions) ==
              order_promotion{sync_replicas > 0 ? "r2" : "p", token});
    }
}

TEST_CASE("the pause of a lost daemon is ended under a claim")
{
    const group_state group = synchronous_group();
    fake_store store;
    coordinator_driver lost;
    lost.subject = coordinator{"ledger", "d2", 8};
    store.run(lost, lost_primary_of(group));
    REQUIRE(find_action<survey_replicas>(lost.actions));
    CHECK(store.state.current_claim->paused);
    coordinator_driver daemon;
    store.run(daemon, group, 10s);
    REQUIRE(find_action<resume_replicas>(daemon.actions));
    CHECK(store.state.current_claim->holder == "d1");
    CHECK(find_action<resume_replicas>(daemon.actions)->exclusive_until > daemon.now);
    store.run(daemon, group, 200ms);
    CHECK(store.state.current_claim->is_settled());
}

TEST_CASE("a daemon that starts leaves a settled claim alone")
{
    fake_store store;
    store.state.current_claim = claim{"d2", 4, "p", store.state.now, {}, {}, false};
    store.state.claim_version = 7;
    coordinator_driver daemon;
    store.run(daemon, healthy_group(), 10s);
    CHECK(daemon.actions.empty());
    CHECK(store.state.claim_version == 7);
}

// LOST: a later target would have led while the earlier order could still be carried out.
TEST_CASE("with synchronous replicas a later promotion keeps the target of an unanswered order")
{
    group_state group = lost_primary_of(synchronous_group());
    const std::vector<survey_answer> equal{{"r1", status_at(12)}, {"r2", status_at(12)}};
    fake_store store;
    store.state.current_claim = claim{"d2", 4, "r2", store_time{0}, {}, {"r2"}, true};
    coordinator_driver daemon;
    store.run(daemon, group);
    REQUIRE(find_action<survey_replicas>(daemon.actions));
    daemon.subject.on_survey({equal, {}}, daemon.now);
    daemon.collect();
    store.serve(daemon);
    CHECK(find_action<order_promotion>(daemon.actions)->target == "r2");
}

TEST_CASE("an order is made void if its target cannot lead any more")
{
    const group_state group = synchronous_group();
    fake_store store;
    store.state.current_claim = claim{"d2", 4, "r2", store_time{0}, {}, {"r2"}, true};
    const auto settle = [&](const std::optional<statement::server_status>& target) {
        coordinator_driver daemon;
        store.run(daemon, group);
        REQUIRE(find_action<survey_replicas>(daemon.actions));
        daemon.subject.on_survey({{{"r1", status_at(11)}, {"r2", target}}, {}}, daemon.now);
        daemon.collect();
        store.serve(daemon);
        std::string ordered = find_action<order_promotion>(daemon.actions)->target;
        CHECK(store.state.current_claim->ordered.back() == ordered);
        CHECK(store.state.current_claim->ordered.front() == "r2");
        CHECK(store.state.current_claim->paused);
        return ordered;
    };
    CHECK(settle(status_at(11)) == "r2");
    // It has restarted, or was told to receive the log again, and lacks what r1 has received.
    store.state.current_claim = claim{"d2", 4, "r2", store_time{0}, {}, {"r2"}, true};
    CHECK(settle(status_at(10)) == "p");
    store.state.current_claim = claim{"d2", 4, "r2", store_time{0}, {}, {"r2"}, true};
    CHECK(settle(std::nullopt) == "p");
}

TEST_CASE("an order whose target leads meanwhile is made void by naming that one")
{
    coordinator_driver daemon;
    fake_store store;
    group_state group = healthy_group();
    order_without_answer(daemon, store, group);
    daemon.run(group, 20ms);
    daemon.subject.on_order(call_outcome::failed, daemon.now);
    store.run(daemon, group);
    REQUIRE(find_action<order_promotion>(daemon.actions)->target == "p");
    // The first order was carried out, and the second one may follow.
    group.primary = "r2";
    group.replicas = {"r1", "p"};
    store.run(daemon, group);
    REQUIRE(find_action<order_promotion>(daemon.actions));
    CHECK(find_action<order_promotion>(daemon.actions)->target == "r2");
}

TEST_CASE("a primary that is lost while an earlier order is settled is replaced at once")
{
    coordinator_driver daemon;
    fake_store store;
    const group_state group = healthy_group();
    order_without_answer(daemon, store, group);
    daemon.run(group, 20ms);
    daemon.subject.on_order(call_outcome::failed, daemon.now);
    store.run(daemon, group);
    REQUIRE(find_action<order_promotion>(daemon.actions)->target == "p");
    store.run(daemon, lost_primary_of(group), 1s);
    CHECK(daemon.subject.in_progress());
    CHECK(find_action<survey_replicas>(daemon.actions));
}

// A daemon that did not see its order carried out paused the replicas of the new primary.
TEST_CASE("an order whose target leads is settled without another one")
{
    group_state group = synchronous_group();
    group.primary = "r2";
    group.replicas = {"r1", "p"};
    for (const char* target : {"r2", ""}) {
        fake_store store;
        store.state.current_claim = claim{"d2", 4, target, store_time{0}, {}, {"r2"}, true};
        coordinator_driver daemon;
        store.run(daemon, group);
        CHECK(find_action<resume_replicas>(daemon.actions));
        CHECK_FALSE(find_action<survey_replicas>(daemon.actions));
        store.run(daemon, group, 200ms);
        CHECK(store.state.current_claim->is_settled());
    }
    // An order that names another server, to make that one void, may still be carried out.
    fake_store store;
    store.state.current_claim = claim{"d2", 4, "p", store_time{0}, {}, {"r2", "p"}, true};
    coordinator_driver daemon;
    store.run(daemon, group);
    CHECK(find_action<survey_replicas>(daemon.actions));
}

// A claim that was written late stayed open until some daemon's next start, which then promoted.
TEST_CASE("a claim without an answer is looked for again, as it may be written late")
{
    const group_state group = synchronous_group();
    fake_store store;
    coordinator_driver daemon;
    daemon.run(lost_primary_of(group));
    daemon.subject.on_shared_state(store.state, daemon.now);
    daemon.collect();
    const auto late = find_action<write_claim>(daemon.actions);
    REQUIRE(late);
    daemon.subject.on_claim_written(call_outcome::failed, daemon.now);
    store.run(daemon, group, 5s);
    CHECK(daemon.actions.empty());
    store.state.current_claim = late->next;
    store.state.claim_version = 1;
    store.run(daemon, group, 20s);
    CHECK(find_action<resume_replicas>(daemon.actions));
    store.run(daemon, group, 200ms);
    CHECK(store.state.current_claim->is_settled());
}

// An order without an answer was taken for settled because an older one had made its target lead.
TEST_CASE("a target that leads before its order was answered does not settle orders for others")
{
    group_state group = lost_primary_of(synchronous_group());
    fake_store store;
    store.state.current_claim = claim{"d2", 4, "r1", store_time{0}, {}, {"r2", "r1"}, true};
    coordinator_driver daemon;
    store.run(daemon, group);
    REQUIRE(find_action<survey_replicas>(daemon.actions));
    daemon.subject.on_survey({{{"r1", status_at(10)}, {"r2", status_at(12)}}, {}}, daemon.now);
    daemon.collect();
    store.serve(daemon);
    REQUIRE(find_action<order_promotion>(daemon.actions)->target == "r2");
    group.primary = "r2";
    group.replicas = {"r1"};
    daemon.run(group, 100ms);
    CHECK(daemon.subject.keeps_pause());
    daemon.subject.on_order(call_outcome::done, daemon.now);
    store.run(daemon, group, 200ms);
    CHECK_FALSE(daemon.subject.keeps_pause());
}
