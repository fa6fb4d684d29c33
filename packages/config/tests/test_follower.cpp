// Tests of followers: spread within its bound under faults, and never backwards.
#include "fake_fleet.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::config;

namespace {

constexpr duration spread_limit{8'000'000};
constexpr duration settle{20'000'000};

head_record head_of(std::uint64_t version)
{
    return {config_version{version}, "object", "p" + std::to_string(version), "ane", "", 0};
}

change_record change_of(std::uint64_t version)
{
    return {config_version{version},
            {"p" + std::to_string(version),
             config_version{version - 1},
             patch_kind::merge,
             {{"v", version}},
             "ane",
             "",
             0}};
}

template <class Action>
std::size_t count(const follower::actions& actions)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        actions, [](const auto& action) { return std::holds_alternative<Action>(action); }));
}

follower make_follower()
{
    follower one{{}, {daemon_id{1}, domain_id{1}}, random_source{1}};
    CHECK(one.step(members_changed{{{daemon_id{2}, domain_id{1}}}}, time_point{}).empty());
    return one;
}

} // namespace

TEST_CASE("messages survive encoding, and malformed ones are refused")
{
    const announce question{config_version{7}, 9};
    CHECK(std::get<announce>(decode_message(encode(question)).value()) == question);
    const status answer{config_version{7}, 9, duration{1'500}};
    CHECK(std::get<status>(decode_message(encode(answer)).value()) == answer);
    const deltas changes{{change_of(1), change_of(2)}};
    CHECK(std::get<deltas>(decode_message(encode(changes)).value()) == changes);
    const snapshot whole{head_of(2), std::make_shared<const json>(json{{"v", 2}})};
    const std::string body = encode(whole);
    CHECK(*std::get<snapshot>(decode_message(body).value()).document == *whole.document);

    random_source random{4};
    for (int i = 0; i < 20'000; ++i) {
        std::string changed = body.substr(0, 1 + random.below(body.size()));
        changed[random.below(changed.size())] = static_cast<char>(random.below(256));
        const auto read = decode_message(changed);
        CHECK((read || read.error().code == error_code::invalid_argument));
    }
}

TEST_CASE("changes are used in order, whatever the order of their arrival")
{
    follower one = make_follower();
    CHECK(count<put_in_force>(
              one.step(peer_message{daemon_id{2}, deltas{{change_of(2)}}}, time_point{})) == 0);
    CHECK(one.report(time_point{}).version == config_version{});
    CHECK(count<put_in_force>(
              one.step(peer_message{daemon_id{2}, deltas{{change_of(1)}}}, time_point{})) == 1);
    CHECK(one.report(time_point{}).version == config_version{2});
    CHECK(*one.document() == json{{"v", 2}});
}

TEST_CASE("an older snapshot, change or head never takes the version back")
{
    follower one = make_follower();
    const auto document = std::make_shared<const json>(json{{"v", 5}});
    const time_point now{1s};
    CHECK(count<put_in_force>(
              one.step(peer_message{daemon_id{2}, snapshot{head_of(5), document}}, now)) == 1);
    CHECK(one.step(peer_message{daemon_id{2}, snapshot{head_of(4), document}}, now).empty());
    CHECK(one.step(peer_message{daemon_id{2}, deltas{{change_of(5)}}}, now).empty());
    CHECK(count<put_in_force>(one.step(tick{}, now)) == 0);
    CHECK(count<poll_head>(one.step(tick{}, now + 2s)) == 1);
    CHECK(count<put_in_force>(one.step(head_answer{std::optional{head_of(3)}}, now)) == 0);
    CHECK(one.report(now).version == config_version{5});
    CHECK(one.report(now).diverged);
}

TEST_CASE("the age of the confirmation counts from the question")
{
    follower one = make_follower();
    CHECK(count<put_in_force>(
              one.step(peer_message{daemon_id{2}, deltas{{change_of(1)}}}, time_point{})) == 1);
    announce asked;
    time_point sent{};
    for (time_point now{}; asked.sequence == 0; now += 100ms) {
        for (const auto& action : one.step(tick{}, now)) {
            if (const auto* message = std::get_if<send_message>(&action)) {
                asked = std::get<announce>(message->content);
                sent = now;
            }
        }
    }
    const status answer{config_version{1}, asked.sequence, duration{3s}};
    CHECK(one.step(peer_message{daemon_id{2}, answer}, sent + 2s).empty());
    CHECK(one.report(sent + 2s).confirmed_age == duration{5s});
}

TEST_CASE("every follower has a change within its limit under loss, cuts and outages")
{
    const auto seed = GENERATE(range(1, 9));
    const auto size = GENERATE(8, 50);
    fake::fleet fleet{static_cast<std::size_t>(size), 3, static_cast<std::uint64_t>(seed), 0.05};
    const auto settled = [&](std::uint64_t version) {
        fleet.run_for(settle);
        return fleet.times(version).back();
    };
    fleet.change({{"a", 1}}, std::nullopt);
    CHECK(settled(1) < settle);

    INFO("seed " << seed << ", daemons " << size);
    fleet.change({{"a", 2}}, 1); // its submitter tells others
    CHECK(settled(2) < spread_limit);
    fleet.change({{"a", 3}}, std::nullopt); // its submitter is gone
    CHECK(settled(3) < spread_limit);

    fleet.change({{"a", 4}}, 1); // the platform goes down at once
    fleet.store().conditions.down = true;
    CHECK(settled(4) < spread_limit);
    fleet.store().conditions.down = false;

    fleet.set_cut(true);
    fleet.change({{"a", 5}}, 1);
    fleet.run_for(10s);
    fleet.set_cut(false);
    CHECK(settled(5) < spread_limit);

    CHECK(fleet.reversals() == 0);
    for (auto& one : fleet.followers()) {
        CHECK(*one.document() == json{{"a", 5}});
        REQUIRE(one.report(fleet.now()).confirmed_age.has_value());
        CHECK(one.report(fleet.now()).confirmed_age < settle);
        CHECK_FALSE(one.report(fleet.now()).diverged);
    }
}

TEST_CASE("a new daemon gets the configuration from peers while the platform is down")
{
    fake::fleet fleet{6, 3, 1, 0.05};
    fleet.change({{"a", 1}}, 1);
    fleet.run_for(settle);
    fleet.store().conditions.down = true;
    fleet.followers()[5] = follower{{}, {daemon_id{5}, domain_id{2}}, random_source{9}};
    std::vector<member> members;
    for (std::uint64_t i = 0; i < 6; ++i) {
        members.push_back({daemon_id{i}, domain_id{static_cast<std::uint16_t>(i % 3)}});
    }
    CHECK(fleet.followers()[5].step(members_changed{members}, fleet.now()).empty());
    fleet.run_for(spread_limit);
    CHECK(fleet.followers()[5].report(fleet.now()).version == config_version{1});
}
