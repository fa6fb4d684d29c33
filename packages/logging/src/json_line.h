/// \file
/// The part of a log line that its writer chooses.
#pragma once

#include "gypsumstep/logging/logging.h"

namespace gypsumstep::logging::detail {

/// A JSON object without its braces: the message and the fields, redacted. A field named
/// like one of the fixed parts of a line gets a '_' appended. Invalid UTF-8 is replaced.
[[nodiscard]] std::string line_body(std::string_view message, std::span<const field> fields);

/// \p text as a JSON string with its quotes.
[[nodiscard]] std::string json_string(std::string_view text);

} // namespace gypsumstep::logging::detail
