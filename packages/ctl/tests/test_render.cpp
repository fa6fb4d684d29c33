// Tests of the tables that people read.
#include "gypsumstep/ctl/render.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace gypsumstep::ctl;
using nlohmann::json;

TEST_CASE("a status shows alarms first and aligns its columns")
{
    const auto status = json::parse(R"({
        "daemon": {"name": "vejle-a-1", "failure_domain": "vejle-a", "version": "0.1.0"},
        "config": {"version": 7, "confirmed_ms_ago": 2460},
        "groups": [{"name": "ledger-1", "term": 3, "primary": "ledger-1-b", "servers": [
            {"name": "ledger-1-a", "state": "up", "applied": "3/1042", "lag_ms": 12.4},
            {"name": "ledger-1-b", "state": "suspect"}]}],
        "peers": [{"address": "10.1.2.11:6433", "state": "alive"}],
        "alarms": [{"code": "platform_down", "text": "no answer for 12 s"}]})");
    CHECK(render_status(read_status(status)) ==
          "ALARM platform_down: no answer for 12 s\n"
          "\n"
          "daemon vejle-a-1 in vejle-a, gypsumstep 0.1.0\n"
          "configuration version 7, confirmed 2.5 s ago\n"
          "\n"
          "GROUP     TERM  SERVER      ROLE     STATE    APPLIED  LAG\n"
          "ledger-1  3     ledger-1-a  replica  up       3/1042   12 ms\n"
          "ledger-1  3     ledger-1-b  primary  suspect  -        -\n"
          "\n"
          "PEER            STATE\n"
          "10.1.2.11:6433  alive\n");
}

TEST_CASE("answers of another shape are shown as far as they are understood")
{
    for (const char* text : {"{}", "[]", "null", R"({"groups": 1, "daemon": [], "alarms": {}})",
                             R"({"groups": [1, null], "ranks": [2], "versions": "x"})"}) {
        INFO(text);
        const auto value = json::parse(text);
        CHECK_THAT(render_status(read_status(value)), Catch::StartsWith("no alarms"));
        CHECK_NOTHROW(render_config(value));
        CHECK_NOTHROW(render_history(value));
        CHECK_NOTHROW(render_report(value));
        CHECK_NOTHROW(render_result(value));
        CHECK(render_error(value).empty());
    }
}

TEST_CASE("a refusal shows the version in force, what changed and all findings")
{
    const auto refusal = json::parse(R"({"error": {"code": "stale_base", "message": "stale"},
        "version": 9, "changes": [{"version": 9, "author": "bo", "reason": "calm",
            "content": {"groups": {"g": {"automation": false}}}}],
        "findings": [{"line": 3, "column": 9, "path": "/a", "message": "bad"}]})");
    CHECK(render_error(refusal) == "stale\nversion in force: 9\nchanged since the base:\n"
                                   "  version 9 by bo: calm\n"
                                   "    {\"groups\":{\"g\":{\"automation\":false}}}\n"
                                   "  3:9: /a: bad");
}

TEST_CASE("a difference names old and new values")
{
    const auto from = json::parse(R"({"a": 1, "b": 2})");
    const auto to = json::parse(R"({"a": 3, "c": "x"})");
    CHECK(render_difference(from, to) == "replace /a: 1 -> 3\nremove /b: 2\nadd /c: \"x\"\n");
}

TEST_CASE("the history shows when in UTC")
{
    const auto history = json::parse(R"({"versions": [
        {"version": 2, "time_ms": 1796377500123, "author": "bo", "reason": "calm"},
        {"version": 1, "time_ms": 1e300, "author": "ida"}]})");
    CHECK(render_history(history) == "VERSION  WHEN                  WHO  WHY\n"
                                     "2        2026-12-04 09:45:00Z  bo   calm\n"
                                     "1        -                     ida  -\n");
}
