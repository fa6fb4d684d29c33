// Tests of the daemon's settings, including the committed examples.
#include "gypsumstep/settings/settings.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::settings;

namespace {

const std::string minimal = R"({
  "name": "a-1", "failure_domain": "a",
  "callers": {"address": "127.0.0.1", "port": 6432},
  "mesh": {"address": "::1", "port": 6433},
  "operators": {"address": "127.0.0.1", "port": 6434},
  "platform_url": "http://127.0.0.1:8000",
  "mesh_keys": ["0123456789abcdef"],
  "operator_keys": ["fedcba9876543210", "0123456789abcdef"])";

} // namespace

TEST_CASE("settings that are left out have their defaults")
{
    const auto loaded = parse(minimal + "}", "f");
    REQUIRE(loaded.has_value());
    CHECK(loaded.problems.empty());
    CHECK(loaded.value->max_connections == 4096);
    CHECK(loaded.value->max_message_bytes == 16'777'216);
    CHECK(loaded.value->log_level == "info");
    CHECK(to_string(loaded.value->mesh) == "[::1]:6433");
    CHECK(loaded.value->operator_keys.size() == 2);
}

TEST_CASE("all findings are reported together and none shows a key")
{
    const auto loaded = parse(R"({"callers": {"address": "vm-1", "port": 70000},
        "mesh": {"address": "127.0.0.1", "port": 1, "tls": 1}, "nmae": "x",
        "platform_url": "ftp://x", "mesh_keys": ["short-secret"], "operator_keys": [],
        "log_level": "loud", "tls_key": "k.pem", "max_connections": 0})",
                              "f");
    CHECK_FALSE(loaded.has_value());
    std::string all;
    for (const auto& problem : loaded.problems) {
        all += to_string(problem) + "\n";
        CHECK(problem.place.line > 0);
        CHECK(problem.place.column > 0);
    }
    CHECK(loaded.problems.size() == 13);
    CHECK_THAT(all, !Catch::Contains("short-secret"));
    CHECK_THAT(all, Catch::Contains("f:2:53: /mesh/tls: unknown key"));
    CHECK_THAT(all, Catch::Contains("f:2:64: /nmae: unknown key"));
    CHECK_THAT(all, Catch::Contains("f:1:25: /callers/address: must be an IPv4"));
    CHECK_THAT(all, Catch::Contains("/operators: missing"));
}

TEST_CASE("two listeners cannot share one endpoint")
{
    std::string text = minimal + "}";
    text.replace(text.find("6434"), 4, "6432");
    const auto loaded = parse(text, "f");
    REQUIRE(loaded.problems.size() == 1);
    CHECK(loaded.problems[0].message == "callers and operators must differ");
}

TEST_CASE("a file that cannot be read is a finding")
{
    const auto loaded = load_file("no-such-file.json");
    CHECK_FALSE(loaded.has_value());
    CHECK(loaded.problems.size() == 1);
}

TEST_CASE("the committed examples load without findings")
{
    for (const std::string user : {"holmgaard", "mixlume"}) {
        const auto loaded =
            load_file(std::string{GYPSUMSTEP_EXAMPLES} + "/" + user + "/settings.json");
        for (const auto& problem : loaded.problems) {
            UNSCOPED_INFO(to_string(problem));
        }
        CHECK(loaded.has_value());
        CHECK(loaded.problems.empty());
    }
}
