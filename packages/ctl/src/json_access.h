/// \file
/// Tolerant access to answers, whose fields may be absent.
#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace gypsumstep::ctl::detail {

/// What stands for a field that is absent.
inline constexpr const char* absent = "-";

/// The member of this name; a null if there is none or \p source is no object.
[[nodiscard]] inline const nlohmann::json& member(const nlohmann::json& source, const char* key)
{
    static const nlohmann::json none;
    if (!source.is_object()) {
        return none;
    }
    const auto found = source.find(key);
    return found == source.end() ? none : *found;
}

/// Any scalar as people read it: strings without quotes.
[[nodiscard]] inline std::string text_of(const nlohmann::json& value)
{
    if (value.is_null()) {
        return absent;
    }
    return value.is_string() ? value.get<std::string>() : value.dump();
}

/// text_of() of a member.
[[nodiscard]] inline std::string text(const nlohmann::json& source, const char* key)
{
    return text_of(member(source, key));
}

/// A member that is a number.
[[nodiscard]] inline std::optional<double> number(const nlohmann::json& source, const char* key)
{
    const auto& value = member(source, key);
    return value.is_number() ? std::optional{value.get<double>()} : std::nullopt;
}

} // namespace gypsumstep::ctl::detail
