// Mutated settings and configurations: the parsers do not crash, and every finding names a valid
// place in the input.
#include "gypsumstep/document/parse.h"
#include "gypsumstep/fleet/parse.h"
#include "gypsumstep/fuzz/mutator.h"
#include "gypsumstep/settings/settings.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <fstream>
#include <iterator>
#include <optional>

using namespace gypsumstep;

namespace {

constexpr int inputs_per_seed = 400;
constexpr std::uint64_t changes_per_input = 6;

std::string example(const std::string& name)
{
    std::ifstream file{std::string{GYPSUMSTEP_EXAMPLES} + "/" + name};
    return {std::istreambuf_iterator<char>{file}, {}};
}

std::vector<std::string_view> json_tokens()
{
    return {"{",
            "}",
            "[",
            "]",
            ",",
            ":",
            "\"",
            "//",
            "/*",
            "*/",
            "\\u",
            "null",
            "true",
            "-1",
            "1e999",
            "0.5",
            "\n",
            "\\",
            "\xff",
            "{}",
            "[[[[[[",
            "\xEF\xBB\xBF",
            "18446744073709551616",
            "\"a\": 1,",
            "\"port\": 0,"};
}

/// The byte offset of a line and column; nothing if they are not in the text.
std::optional<std::size_t> offset_of(std::string_view text, const source_place& place)
{
    std::size_t offset = 0;
    for (std::uint32_t line = 1; line < place.line; ++line) {
        offset = text.find('\n', offset);
        if (offset == std::string_view::npos) {
            return std::nullopt;
        }
        ++offset;
    }
    const std::size_t byte_order_mark_size =
        text.starts_with("\xEF\xBB\xBF") && place.line == 1 ? 3 : 0;
    offset += byte_order_mark_size;
    for (std::uint32_t column = 1; column < place.column; ++column) {
        if (offset >= text.size()) {
            return std::nullopt;
        }
        ++offset;
        while (offset < text.size() &&
               (static_cast<unsigned char>(text[offset]) & 0xC0U) == 0x80U) {
            ++offset;
        }
    }
    return offset;
}

template <class T>
void check_places(const document::checked<T>& parsed, const std::string& text)
{
    INFO(text);
    REQUIRE(parsed.has_value() != document::has_error(parsed.problems));
    for (const finding& problem : parsed.problems) {
        INFO(to_string(problem));
        REQUIRE(problem.place.line > 0);
        REQUIRE(problem.place.column > 0);
        REQUIRE(offset_of(text, problem.place).has_value());
    }
}

/// Requires that the place of every value and key is where a token of its kind starts.
void check_node(const document::node& value, const std::string& text)
{
    const auto at = offset_of(text, value.place);
    REQUIRE(at.has_value());
    REQUIRE(*at < text.size());
    static constexpr std::array<std::string_view, 8> first_bytes{
        "n", "tf", "-", "0123456789-", "0123456789-", "\"", "[", "{"};
    REQUIRE(first_bytes.at(value.value.index()).find(text[*at]) != std::string_view::npos);
    if (const auto* elements = std::get_if<document::array>(&value.value)) {
        for (const auto& element : *elements) {
            check_node(element, text);
        }
    }
    if (const auto* members = std::get_if<document::object>(&value.value)) {
        for (const auto& member : *members) {
            const auto key_at = offset_of(text, member.place);
            REQUIRE((key_at.has_value() && text.at(*key_at) == '"'));
            check_node(member.value, text);
        }
    }
}

} // namespace

TEST_CASE("mutated settings are read, or refused with valid places")
{
    const auto seed = GENERATE(1U, 2U, 3U, 4U);
    INFO("seed " << seed);
    fuzz::mutator mutator{seed, json_tokens()};
    for (const char* name : {"holmgaard/settings.json", "mixlume/settings.json"}) {
        const std::string valid = example(name);
        for (int i = 0; i < inputs_per_seed; ++i) {
            const std::string text = mutator.mutate(valid, changes_per_input);
            check_places(settings::parse(text, "f"), text);
        }
    }
}

TEST_CASE("mutated configurations are refused with valid places, or unchanged after being written "
          "and parsed")
{
    const auto seed = GENERATE(1U, 2U, 3U, 4U);
    INFO("seed " << seed);
    fuzz::mutator mutator{seed, json_tokens()};
    for (const char* name : {"holmgaard/configuration.json", "mixlume/configuration.json"}) {
        const std::string valid = example(name);
        for (int i = 0; i < inputs_per_seed; ++i) {
            const std::string text = mutator.mutate(valid, changes_per_input);
            const auto parsed = fleet::parse(text, "f");
            check_places(parsed, text);
            if (parsed.has_value()) {
                const auto again = fleet::parse_json(fleet::to_json(*parsed.value), "f");
                REQUIRE(again.has_value());
                REQUIRE(*again.value == *parsed.value);
            }
        }
    }
}

TEST_CASE("places are right whatever comments and spaces are between tokens")
{
    const auto seed = GENERATE(1U, 2U, 3U, 4U);
    INFO("seed " << seed);
    fuzz::mutator mutator{seed, {"/* \"{ */", "//:[\n", " ", "\r\n", "\t", "/**/", "\xC3\xA6"}};
    const std::string valid = R"({"a":[1,-2,0.5,true,null,"x\"y",{}],"b":{"c":[],"d":1}})";
    int accepted = 0;
    for (int i = 0; i < inputs_per_seed; ++i) {
        const std::string text = mutator.insert_tokens(valid, changes_per_input);
        INFO(text);
        const auto parsed = document::parse(text, "f");
        check_places(parsed, text);
        if (parsed.has_value()) {
            ++accepted;
            check_node(*parsed.value, text);
        }
    }
    CHECK(accepted > inputs_per_seed / 10);
}
