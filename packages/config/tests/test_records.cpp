// Tests of encoding records as rows, of applying patches and of the nesting limit.
#include "gypsumstep/config/nesting.h"
#include "gypsumstep/config/records.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using config::json;

namespace {

config::patch make_patch(config::patch_kind kind, json content)
{
    return {"p-1", config_version{4}, kind, std::move(content), "ane", "night shift", 17};
}

} // namespace

TEST_CASE("a head and a change are equal after encoding and parsing")
{
    const config::change_record change{config_version{5},
                                       make_patch(config::patch_kind::operations, json::array())};
    CHECK(config::parse_change(config::to_json(change)).value() == change);
    const auto head = config::make_head(change);
    CHECK(config::parse_head(config::to_json(head)).value() == head);
    CHECK(head.object == "config/versions/5-p-1");
    CHECK_FALSE(config::parse_head(json{{"version", -1}}));
    CHECK_FALSE(config::parse_change(json::array()));
}

TEST_CASE("patches of both kinds apply, and a patch that does not apply is an error")
{
    const json document{{"a", 1}, {"b", {1, 2}}};
    const auto merged = config::apply_patch(
        document, make_patch(config::patch_kind::merge, {{"a", nullptr}, {"c", 3}}));
    CHECK(merged.value() == json{{"b", {1, 2}}, {"c", 3}});

    const json append = json::parse(R"([{"op":"add","path":"/b/-","value":3}])");
    CHECK(config::apply_patch(document, make_patch(config::patch_kind::operations, append))
              .value()["b"] == json{1, 2, 3});

    for (const auto* text :
         {R"([{"op":"remove","path":"/none"}])", R"([{"op":"test","path":"/a","value":2}])",
          R"([{"op":"fly"}])", R"({"a":1})", R"([{"op":"add","path":"b","value":1}])"}) {
        INFO(text);
        const auto result = config::apply_patch(
            document, make_patch(config::patch_kind::operations, json::parse(text)));
        CHECK(result.error().code == error_code::invalid_argument);
    }
}

TEST_CASE("a rollback restores an old document as a new version")
{
    const json old_document{{"a", 1}, {"b", {1, 2}}};
    const json current{{"a", 2}, {"c", json::object()}};
    const auto order =
        config::make_rollback(make_patch(config::patch_kind::merge, {}), current, old_document);
    CHECK(config::apply_patch(current, order).value() == old_document);
    CHECK(order.base == config_version{4});
}

TEST_CASE("a patch id is short and has only plain characters")
{
    CHECK(config::is_patch_id("2026-12-04_a"));
    for (const std::string& text : {std::string{}, std::string{"a/b"}, std::string(65, 'a')}) {
        CHECK_FALSE(config::is_patch_id(text));
    }
}

TEST_CASE("input nested too deeply is refused before recursive code runs on it")
{
    json deep = 1;
    for (std::size_t level = 0; level < 100'000; ++level) {
        json outer = json::array();
        outer.push_back(std::move(deep));
        deep = std::move(outer);
    }
    const json at_limit = json::parse(std::string(config::nesting_limit, '[') +
                                      std::string(config::nesting_limit, ']'));
    CHECK(config::is_nested_within(at_limit, config::nesting_limit));
    CHECK_FALSE(config::is_nested_within(at_limit, config::nesting_limit - 1));
    CHECK_FALSE(config::is_nested_within(deep, config::nesting_limit));
    const auto refused =
        config::apply_patch(json::object(), make_patch(config::patch_kind::merge, std::move(deep)));
    CHECK(refused.error().code == error_code::invalid_argument);
    CHECK_FALSE(config::is_bounded_cbor(std::string(4'000'000, '\x81'), config::nesting_limit));
    CHECK(config::is_bounded_cbor("\x81\x01", config::nesting_limit));
}
