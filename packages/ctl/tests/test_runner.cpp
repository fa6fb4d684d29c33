// Tests of the exchanges of each command, with a fake daemon.
#include "gypsumstep/ctl/runner.h"

#include <catch2/catch.hpp>

#include <deque>
#include <sstream>
#include <vector>

using namespace gypsumstep;
using namespace gypsumstep::ctl;
using nlohmann::json;

namespace {

/// Gives prepared answers and records what was asked.
struct fake_transport {
    std::deque<answer> answers;
    std::vector<request> sent;
    int pauses{0};

    answer send(const request& message)
    {
        sent.push_back(message);
        REQUIRE_FALSE(answers.empty());
        answer next = answers.front();
        answers.pop_front();
        return next;
    }
    void pause(duration /*length*/) { ++pauses; }
};

answer ok(const json& body)
{
    return {delivery::answered, 200, body.dump(), {}};
}

answer refusal(int status, const json& body)
{
    return {delivery::answered, status, body.dump(), {}};
}

const answer lost{delivery::lost, 0, {}, "timeout"};
const answer unreachable{delivery::unreachable, 0, {}, "connection refused"};

/// Runs one command against the prepared answers.
struct session {
    fake_transport daemon;
    std::ostringstream output;
    std::ostringstream messages;

    exit_code run(const command& chosen)
    {
        runner commands{daemon, output, messages, false};
        return commands.run(chosen);
    }
};

const rollback_config to_version_two{2, "ida", "undo", "id-1"};
const json version_two = {{"version", 2}, {"groups", {{"g", {{"automation", true}}}}}};
const json version_five = {{"version", 5}, {"groups", {{"g", {{"automation", false}}}}}};

} // namespace

TEST_CASE("exit codes tell refused, unreachable and unknown apart")
{
    const auto code_of = [](const command& chosen, const answer& got) {
        session one;
        one.daemon.answers = {got};
        return one.run(chosen);
    };
    const json why = {{"error", "no"}};
    CHECK(code_of(show_status{}, ok(json::object())) == exit_code::ok);
    CHECK(code_of(show_status{}, refusal(401, why)) == exit_code::refused);
    CHECK(code_of(show_status{}, unreachable) == exit_code::unreachable);
    CHECK(code_of(show_status{}, lost) == exit_code::unreachable);
    CHECK(code_of(promote_server{"g", "s"}, refusal(409, why)) == exit_code::refused);
    CHECK(code_of(promote_server{"g", "s"}, refusal(503, why)) == exit_code::refused);
    CHECK(code_of(promote_server{"g", "s"}, refusal(504, why)) == exit_code::unknown);
    CHECK(code_of(promote_server{"g", "s"}, lost) == exit_code::unknown);
    CHECK(code_of(promote_server{"g", "s"}, unreachable) == exit_code::unreachable);
    CHECK(code_of(show_config{}, {delivery::answered, 200, "not json", {}}) == exit_code::refused);
}

TEST_CASE("a rollback is a patch against the version in force")
{
    session one;
    one.daemon.answers = {ok(version_five), ok(version_two), ok({{"version", 6}})};
    CHECK(one.run(to_version_two) == exit_code::ok);
    CHECK(one.daemon.sent[1].path == "/v1/config?version=2");
    const json expected = {{"base", 5},
                           {"id", "id-1"},
                           {"author", "ida"},
                           {"reason", "undo"},
                           {"merge", {{"groups", {{"g", {{"automation", true}}}}}}}};
    CHECK(one.daemon.sent[2].body == expected);
    CHECK(one.output.str() == "version: 6\n");
}

TEST_CASE("a patch without an answer is sent again with the same id")
{
    session one;
    one.daemon.answers = {ok(version_five), ok(version_two), lost, ok({{"version", 6}})};
    CHECK(one.run(to_version_two) == exit_code::ok);
    CHECK(one.daemon.sent[2].body == one.daemon.sent[3].body);
    CHECK(one.daemon.pauses == 1);
    CHECK(one.daemon.sent[2].patience == patch_patience);
    CHECK(one.daemon.sent[0].patience == 0s);
}

TEST_CASE("a patch that may have counted is never reported as not done")
{
    session one;
    one.daemon.answers = {ok(version_five), ok(version_two), lost,
                          unreachable,      unreachable,     unreachable};
    CHECK(one.run(to_version_two) == exit_code::unknown);
    CHECK_THAT(one.messages.str(), Catch::Contains("--id=id-1"));
}

TEST_CASE("a patch that was never sent is not repeated")
{
    session one;
    one.daemon.answers = {ok(version_five), ok(version_two), unreachable};
    CHECK(one.run(to_version_two) == exit_code::unreachable);
}

TEST_CASE("drain finds out what the name stands for")
{
    const json config = {{"groups", {{"g", {{"servers", {{"s-1", json::object()}}}}}}}};
    for (const std::string name : {"s-1", "vejle-a-1"}) {
        session one;
        one.daemon.answers = {ok(config), ok(json::object())};
        CHECK(one.run(drain{name}) == exit_code::ok);
        const char* kind = name == "s-1" ? "server" : "daemon";
        CHECK(one.daemon.sent[1].body == json{{kind, name}});
    }
}
