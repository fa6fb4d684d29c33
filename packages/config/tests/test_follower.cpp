// Tests of followers: a change reaches every daemon within the limit despite faults, and a
// version never decreases.
#include "fake_fleet.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::config;

namespace {

constexpr duration spread_limit{8'000'000};
constexpr duration settle_time{20'000'000};

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
    follower subject{{}, {daemon_id{1}, domain_id{1}}, random_source{1}};
    CHECK(subject.step(members_changed{{{daemon_id{2}, domain_id{1}}}}, time_point{}).empty());
    return subject;
}

} // namespace

TEST_CASE("messages are equal after encoding and decoding, and malformed ones are refused")
{
    const announce request{config_version{7}, 9};
    CHECK(std::get<announce>(decode_message(encode(request)).value()) == request);
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

TEST_CASE("changes are applied in version order, whatever the order of their arrival")
{
    follower subject = make_follower();
    CHECK(count<put_in_force>(
              subject.step(peer_message{daemon_id{2}, deltas{{change_of(2)}}}, time_point{})) == 0);
    CHECK(subject.report(time_point{}).version == config_version{});
    CHECK(count<put_in_force>(
              subject.step(peer_message{daemon_id{2}, deltas{{change_of(1)}}}, time_point{})) == 1);
    CHECK(subject.report(time_point{}).version == config_version{2});
    CHECK(*subject.document() == json{{"v", 2}});
}

TEST_CASE("an older snapshot, change or head never lowers the version")
{
    follower subject = make_follower();
    const auto document = std::make_shared<const json>(json{{"v", 5}});
    const time_point now{1s};
    CHECK(count<put_in_force>(
              subject.step(peer_message{daemon_id{2}, snapshot{head_of(5), document}}, now)) == 1);
    CHECK(subject.step(peer_message{daemon_id{2}, snapshot{head_of(4), document}}, now).empty());
    CHECK(subject.step(peer_message{daemon_id{2}, deltas{{change_of(5)}}}, now).empty());
    CHECK(count<put_in_force>(subject.step(tick{}, now)) == 0);
    CHECK(count<poll_head>(subject.step(tick{}, now + 2s)) == 1);
    CHECK(count<put_in_force>(subject.step(head_answer{std::optional{head_of(3)}}, now)) == 0);
    CHECK(subject.report(now).version == config_version{5});
    CHECK(subject.report(now).diverged);
}

TEST_CASE("the age of a confirmation counts from the announce")
{
    follower subject = make_follower();
    CHECK(count<put_in_force>(
              subject.step(peer_message{daemon_id{2}, deltas{{change_of(1)}}}, time_point{})) == 1);
    announce asked;
    time_point sent{};
    for (time_point now{}; asked.sequence == 0; now += 100ms) {
        for (const auto& action : subject.step(tick{}, now)) {
            if (const auto* message = std::get_if<send_message>(&action)) {
                asked = std::get<announce>(message->content);
                sent = now;
            }
        }
    }
    const status answer{config_version{1}, asked.sequence, duration{3s}};
    CHECK(subject.step(peer_message{daemon_id{2}, answer}, sent + 2s).empty());
    CHECK(subject.report(sent + 2s).confirmed_age == duration{5s});
}

TEST_CASE("every follower gets a change in time despite loss, partitions and outages")
{
    const auto seed = GENERATE(range(1, 9));
    const auto size = GENERATE(8, 50);
    fake::fleet fleet{static_cast<std::size_t>(size), 3, static_cast<std::uint64_t>(seed), 0.05};
    const auto time_to_last = [&](std::uint64_t version) {
        fleet.run_for(settle_time);
        return fleet.times(version).back();
    };
    fleet.change({{"a", 1}}, std::nullopt);
    CHECK(time_to_last(1) < settle_time);

    INFO("seed " << seed << ", daemons " << size);
    fleet.change({{"a", 2}}, 1); // the submitting daemon sends it to its partners
    CHECK(time_to_last(2) < spread_limit);
    fleet.change({{"a", 3}}, std::nullopt); // the submitting daemon is gone, so followers must poll
    CHECK(time_to_last(3) < spread_limit);

    fleet.change({{"a", 4}}, 1); // the platform goes down right after the commit
    fleet.store().conditions.down = true;
    CHECK(time_to_last(4) < spread_limit);
    fleet.store().conditions.down = false;

    fleet.set_partitioned(true);
    fleet.change({{"a", 5}}, 1);
    fleet.run_for(10s);
    fleet.set_partitioned(false);
    CHECK(time_to_last(5) < spread_limit);

    CHECK(fleet.version_decreases() == 0);
    for (auto& subject : fleet.followers()) {
        CHECK(*subject.document() == json{{"a", 5}});
        REQUIRE(subject.report(fleet.now()).confirmed_age.has_value());
        CHECK(subject.report(fleet.now()).confirmed_age < settle_time);
        CHECK_FALSE(subject.report(fleet.now()).diverged);
    }
}

TEST_CASE("a new daemon gets the configuration from peers while the platform is down")
{
    fake::fleet fleet{6, 3, 1, 0.05};
    fleet.change({{"a", 1}}, 1);
    fleet.run_for(settle_time);
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
