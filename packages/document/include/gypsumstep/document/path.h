/// \file
/// Appends steps to JSON pointers (RFC 6901).
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace gypsumstep::document {

/// \p parent with the key of an object appended, '~' and '/' escaped.
[[nodiscard]] inline std::string child_path(std::string_view parent, std::string_view key)
{
    std::string result{parent};
    result += '/';
    for (const char character : key) {
        if (character == '~') {
            result += "~0";
        }
        else if (character == '/') {
            result += "~1";
        }
        else {
            result += character;
        }
    }
    return result;
}

/// \p parent with the index of an array appended.
[[nodiscard]] inline std::string child_path(std::string_view parent, std::size_t index)
{
    return child_path(parent, std::to_string(index));
}

} // namespace gypsumstep::document
