/// \file
/// Problems found in a document, collected with their place and reported together.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace gypsumstep {

/// A place in a text document. Line and column start at 1; 0 means unknown.
struct source_place {
    std::string file;
    std::uint32_t line{0};
    std::uint32_t column{0};

    friend auto operator<=>(const source_place&, const source_place&) = default;
};

/// One problem at one place.
struct finding {
    source_place place;
    std::string path;    ///< JSON pointer of the key, e.g. "/daemon/listen/port"
    std::string message; ///< what is wrong, for people

    friend auto operator<=>(const finding&, const finding&) = default;
};

/// All problems of one document, in the order of their places.
using findings = std::vector<finding>;

/// "FILE:LINE:COLUMN: PATH: MESSAGE".
[[nodiscard]] std::string to_string(const finding& value);

} // namespace gypsumstep
