// Tests of reading the operator's words.
#include "gypsumstep/ctl/command.h"
#include "gypsumstep/ctl/merge_patch.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::ctl;

TEST_CASE("every command of the help is understood")
{
    command_options options;
    options.base = 7;
    options.reason = "why";
    const auto parse = [&](const std::vector<std::string>& words) {
        return parse_command(words, options).value();
    };
    CHECK(parse({}) == command{show_help{}});
    CHECK(parse({"status"}) == command{show_status{}});
    CHECK(parse({"report"}) == command{show_report{}});
    CHECK(parse({"config", "show"}) == command{show_config{}});
    CHECK(parse({"config", "show", "3"}) == command{show_config{3}});
    CHECK(parse({"config", "history"}) == command{show_history{}});
    CHECK(parse({"config", "diff", "3", "5"}) == command{diff_config{3, 5}});
    CHECK(parse({"config", "patch", "p"}) == command{patch_config{7, "p", "", "why", ""}});
    CHECK(parse({"config", "rollback", "2"}) == command{rollback_config{2, "", "why", ""}});
    CHECK(parse({"promote", "g", "s"}) == command{promote_server{"g", "s"}});
    CHECK(parse({"drain", "s"}) == command{drain{"s"}});
    CHECK(parse({"freeze", "g"}) == command{freeze_group{"g", true}});
    CHECK(parse({"release", "g"}) == command{freeze_group{"g", false}});
    CHECK(parse({"log-level", "debug"}) == command{set_log_level{"debug"}});
}

TEST_CASE("wrong words are refused with what was expected")
{
    const std::vector<std::vector<std::string>> wrong{{"stauts"},
                                                      {"status", "x"},
                                                      {"config"},
                                                      {"config", "diff"},
                                                      {"config", "show", "-1"},
                                                      {"config", "rollback", "1x"},
                                                      {"promote", "g"},
                                                      {"drain"},
                                                      {"log-level", "loud"},
                                                      {"config", "patch", "p"}};
    for (const auto& words : wrong) {
        const auto parsed = parse_command(words, {});
        REQUIRE_FALSE(parsed.has_value());
        CHECK_FALSE(parsed.error().message.empty());
    }
}

TEST_CASE("a merge difference leads from one document to the other")
{
    const auto from = nlohmann::json::parse(R"({"a": {"x": 1, "y": [1]}, "b": 2, "c": {"d": 1}})");
    const auto to = nlohmann::json::parse(R"({"a": {"x": 1, "y": [2], "z": 3}, "c": 4, "e": {}})");
    auto patched = from;
    patched.merge_patch(merge_difference(from, to));
    CHECK(patched == to);
    CHECK(merge_difference(to, to).empty());
}
