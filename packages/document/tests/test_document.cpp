// Tests of the source positions and findings that the document reader reports.
#include "gypsumstep/document/converters.h"
#include "gypsumstep/document/parse.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
namespace doc = gypsumstep::document;

namespace {

std::string only_finding(std::string_view text)
{
    const auto parsed = doc::parse(text, "f");
    REQUIRE(parsed.problems.size() == 1);
    CHECK_FALSE(parsed.has_value());
    return to_string(parsed.problems.front());
}

} // namespace

TEST_CASE("keys and values have the place of their first character")
{
    const auto parsed =
        doc::parse("// first\n{ /* in */ \"a\": 1/*x*/, \"æ\": [true,\n  {}] }", "f");
    REQUIRE(parsed.has_value());
    const auto& members = std::get<doc::object>(parsed.value->value);
    CHECK(members[0].place == source_place{"f", 2, 12});
    CHECK(members[0].value.place == source_place{"f", 2, 17});
    CHECK(members[1].place == source_place{"f", 2, 25});
    const auto& elements = std::get<doc::array>(members[1].value.value);
    CHECK(elements[0].place == source_place{"f", 2, 31});
    CHECK(elements[1].place == source_place{"f", 3, 3});
}

TEST_CASE("a syntax error gives one finding with its place")
{
    CHECK_THAT(only_finding("{\n \"a\" 1}"), Catch::StartsWith("f:2:6: : syntax error"));
    CHECK_THAT(only_finding("{\"a\": {\"b\": x}}"), Catch::StartsWith("f:1:13: /a: syntax error"));
    CHECK_THAT(only_finding(""), Catch::StartsWith("f:1:1: : syntax error"));
    CHECK_THAT(only_finding("[1] 2"), Catch::StartsWith("f:1:5: : syntax error"));
    CHECK_THAT(only_finding(std::string(100, '[')), Catch::Contains("nested deeper"));
}

TEST_CASE("a duplicate key is reported at its second occurrence")
{
    CHECK(only_finding("{\"x\": [0, {\"a/b\": 1, \"a/b\": 2}]}") ==
          "f:1:22: /x/1/a~1b: duplicate key");
}

TEST_CASE("every wrong field is reported, in the order of the text")
{
    const auto parsed = doc::parse("{\"port\": 0, \"extra\": 1, \"ip\": \"localhost\", \"ms\": -1,"
                                   "\"share\": 1.0, \"list\": [\"a\", 2], \"level\": \"loud\"}",
                                   "f");
    REQUIRE(parsed.has_value());
    findings problems;
    std::uint16_t port = 0;
    std::string ip;
    duration wait{};
    double share = 0;
    std::vector<std::string> list;
    std::string level;
    std::string missing;
    doc::object_reader reader{*parsed.value, {problems, ""}};
    CHECK_FALSE(reader.required("port", doc::port_number, port));
    reader.required("ip", doc::ip_address{}, ip);
    reader.required("ms", doc::milliseconds_between{0, 10}, wait);
    reader.required("share", doc::fraction{true, false}, share);
    reader.required("list", doc::array_of<std::string, doc::text>{}, list);
    reader.required("level", doc::one_of{{"info", "debug"}}, level);
    reader.required("missing", doc::text{}, missing);
    CHECK(reader.finish());
    const auto all = doc::make_checked(std::optional<int>{1}, problems);
    CHECK_FALSE(all.has_value());
    std::vector<std::string> paths;
    for (const auto& problem : all.problems) {
        paths.push_back(problem.path);
    }
    CHECK(paths == std::vector<std::string>{"/missing", "/port", "/extra", "/ip", "/ms", "/share",
                                            "/list/1", "/level"});
}

TEST_CASE("a warning leaves the value usable")
{
    const findings warned{{{"f", 1, 1}, "/a", "odd", severity::warning}};
    CHECK(doc::make_checked(std::optional<int>{1}, warned).has_value());
    CHECK(to_string(warned.front()) == "f:1:1: /a: warning: odd");
}
