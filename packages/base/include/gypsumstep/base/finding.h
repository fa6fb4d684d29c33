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

/// How bad a finding is.
enum class severity : std::uint8_t {
    error,   ///< the document is not used
    warning, ///< the document is used; the finding is shown
};

/// One problem at one place.
struct finding {
    source_place place;
    std::string path;    ///< JSON pointer of the key, e.g. "/daemon/listen/port"
    std::string message; ///< what is wrong, for people
    severity level{severity::error};

    friend auto operator<=>(const finding&, const finding&) = default;
};

/// All problems of one document, in the order of their places.
using findings = std::vector<finding>;

/// "FILE:LINE:COLUMN: PATH: MESSAGE"; the message of a warning starts with "warning: ".
[[nodiscard]] std::string to_string(const finding& value);

} // namespace gypsumstep
