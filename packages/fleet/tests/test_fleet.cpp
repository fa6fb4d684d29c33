// Tests of reading, checking and writing configurations.
#include "gypsumstep/fleet/parse.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iterator>

using namespace gypsumstep;

namespace {

std::string example(const std::string& user)
{
    std::ifstream file{std::string{GYPSUMSTEP_EXAMPLES} + "/" + user + "/configuration.json"};
    return {std::istreambuf_iterator<char>{file}, {}};
}

nlohmann::json holmgaard()
{
    return nlohmann::json::parse(example("holmgaard"), nullptr, true, true);
}

std::string all_findings(const nlohmann::json& value)
{
    std::string result;
    for (const auto& problem : fleet::parse_json(value, "f").problems) {
        CHECK(problem.place.line > 0);
        result += problem.path + ": " + problem.message + "\n";
    }
    return result;
}

} // namespace

TEST_CASE("the committed examples have the users' sizes")
{
    for (const std::string user : {"holmgaard", "mixlume"}) {
        INFO(user);
        const auto loaded = fleet::parse(example(user), user);
        for (const auto& problem : loaded.problems) {
            UNSCOPED_INFO(to_string(problem));
        }
        REQUIRE(loaded.has_value());
        CHECK(loaded.problems.empty());
        const bool is_holmgaard = user == "holmgaard";
        CHECK(loaded.value->domains.size() == 3);
        CHECK(loaded.value->groups.size() == 3);
        CHECK(loaded.value->servers.size() == 9);
        for (const auto& server : loaded.value->servers) {
            CHECK(server.slots == (is_holmgaard ? 5 : 3));
            CHECK(server.connections == (is_holmgaard ? 30 : 40));
            CHECK(server.connect_time == (is_holmgaard ? 10ms : 30ms));
        }
    }
}

TEST_CASE("ids are indexes in the order of names")
{
    const auto loaded = fleet::parse(example("holmgaard"), "f");
    REQUIRE(loaded.has_value());
    const auto& document = *loaded.value;
    CHECK(std::ranges::is_sorted(document.servers, {}, &fleet::server::name));
    for (std::size_t i = 0; i < document.servers.size(); ++i) {
        CHECK(document.servers[i].id.value() == i);
    }
    for (const auto& group : document.groups) {
        CHECK(group.servers.size() == 3);
        for (const auto id : group.servers) {
            CHECK(document.servers[id.value()].group == group.id);
        }
    }
}

TEST_CASE("parse reads back what to_json writes")
{
    for (const std::string user : {"holmgaard", "mixlume"}) {
        const auto loaded = fleet::parse(example(user), user);
        REQUIRE(loaded.has_value());
        const auto again = fleet::parse_json(fleet::to_json(*loaded.value), user);
        REQUIRE(again.has_value());
        CHECK(*again.value == *loaded.value);
    }
}

TEST_CASE("the whole document is checked")
{
    auto value = holmgaard();
    auto& servers = value["groups"]["ledger-1"]["servers"];
    servers["ledger-1-a"]["domain"] = "nowhere";
    servers["ledger-1-b"]["slots"] = 31;
    servers["ledger-2-a"] = servers["ledger-1-c"];
    value["ranks"]["next"]["slot_floor"] = 0.6;
    value["ranks"]["last"]["slot_floor"] = 0.4;
    value["groups"]["ledger-3"]["servers"] = nlohmann::json::object();
    const std::string all = all_findings(value);
    CHECK_THAT(all, Catch::Contains("/groups/ledger-1/servers/ledger-1-a/domain: unknown domain"));
    CHECK_THAT(all, Catch::Contains("ledger-1-b: slots must not exceed connections"));
    CHECK_THAT(all, Catch::Contains("another group has a server of this name"));
    CHECK_THAT(all, Catch::Contains("another server has this address and port"));
    CHECK_THAT(all, Catch::Contains("/ranks: the slot floors"));
    CHECK_THAT(all, Catch::Contains("/groups/ledger-3/servers: a group needs a server"));
    CHECK_FALSE(fleet::parse_json(value, "f").has_value());
}

TEST_CASE("groups that are small, even or in one failure domain are warnings")
{
    auto value = holmgaard();
    value["groups"]["ledger-1"]["servers"].erase("ledger-1-a");
    for (auto& server : value["groups"]["ledger-2"]["servers"]) {
        server["domain"] = "odense-a";
    }
    auto fourth = value["groups"]["ledger-3"]["servers"]["ledger-3-a"];
    fourth["port"] = 6999;
    value["groups"]["ledger-3"]["servers"]["ledger-3-d"] = fourth;
    const auto loaded = fleet::parse_json(value, "f");
    CHECK(loaded.has_value());
    CHECK(loaded.problems.size() == 3);
    for (const auto& problem : loaded.problems) {
        CHECK(problem.level == severity::warning);
    }
}

TEST_CASE("a document of the wrong type is refused with its places")
{
    for (const std::string text : {"[]", "1", "{}", R"({"version": 1, "groups": []})"}) {
        const auto loaded = fleet::parse(text, "f");
        CHECK_FALSE(loaded.has_value());
        CHECK(loaded.problems.front().place.line == 1);
    }
}
