/// \file
/// JSON pointers (RFC 6901) that grow one step at a time.
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
    for (const char letter : key) {
        if (letter == '~') {
            result += "~0";
        }
        else if (letter == '/') {
            result += "~1";
        }
        else {
            result += letter;
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
