/// \file
/// Formats the message and the fields of a log line as JSON.
#pragma once

#include "gypsumstep/logging/logging.h"

namespace gypsumstep::logging::detail {

/// A JSON object without its braces: the message and the fields, redacted. A '_' is appended
/// to a field's key if it is "time", "level", "component" or "message". Invalid UTF-8 is
/// replaced.
[[nodiscard]] std::string line_body(std::string_view message, std::span<const field> fields);

/// \p text as a JSON string with its quotes.
[[nodiscard]] std::string json_string(std::string_view text);

} // namespace gypsumstep::logging::detail
