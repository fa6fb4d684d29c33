/// \file
/// Problems found in a document, each with its location; collected and reported together.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace gypsumstep {

/// A location in a text document. Line and column start at 1; 0 means unknown.
struct source_place {
    std::string file;
    std::uint32_t line{0};
    std::uint32_t column{0};

    friend auto operator<=>(const source_place&, const source_place&) = default;
};

/// The severity of a finding.
enum class severity : std::uint8_t {
    error,   ///< the document is rejected
    warning, ///< the document is accepted and the finding is reported
};

/// One problem at one location of a document.
struct finding {
    source_place place;
    std::string path;    ///< JSON pointer of the key, e.g. "/daemon/listen/port"
    std::string message; ///< human-readable description of the problem
    severity level{severity::error};

    friend auto operator<=>(const finding&, const finding&) = default;
};

/// All problems of one document, ordered by location.
using findings = std::vector<finding>;

/// Formats a finding as "FILE:LINE:COLUMN: PATH: MESSAGE". The message of a warning starts with
/// "warning: ".
[[nodiscard]] std::string to_string(const finding& value);

} // namespace gypsumstep
