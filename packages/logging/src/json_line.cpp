#include "json_line.h"

#include "gypsumstep/logging/redaction.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <type_traits>

namespace gypsumstep::logging::detail {

namespace {

using json = nlohmann::ordered_json;

std::string dump(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string field_name(std::string_view key)
{
    static constexpr std::array<std::string_view, 4> reserved{"time", "level", "component",
                                                              "message"};
    std::string name{key};
    if (std::ranges::find(reserved, key) != reserved.end()) {
        name += '_';
    }
    return name;
}

json to_json(const field& source)
{
    if (is_secret_field(source.key)) {
        return std::string{redacted};
    }
    return std::visit(
        [](const auto& value) -> json {
            using type = std::decay_t<decltype(value)>;
            if constexpr (std::is_arithmetic_v<type>) {
                return value;
            }
            else {
                return redact(value);
            }
        },
        source.value);
}

} // namespace

std::string line_body(std::string_view message, std::span<const field> fields)
{
    json line = json::object();
    line["message"] = redact(message);
    for (const field& entry : fields) {
        line[field_name(entry.key)] = to_json(entry);
    }
    const std::string text = dump(line);
    return text.substr(1, text.size() - 2);
}

std::string json_string(std::string_view text)
{
    return dump(json(std::string{text}));
}

} // namespace gypsumstep::logging::detail
