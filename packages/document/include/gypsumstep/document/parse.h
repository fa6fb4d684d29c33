/// \file
/// Parses JSON with comments and keeps the position of every key and value.
#pragma once

#include "gypsumstep/document/checked.h"
#include "gypsumstep/document/node.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace gypsumstep::document {

/// Maximum nesting depth of arrays and objects.
inline constexpr std::size_t max_depth = 32;

/// Parses \p text as JSON in which // and /* */ comments are allowed.
///
/// A syntax error gives one finding, at the token where it was detected. Duplicate keys
/// of one object are all reported. \p file_name only appears in source places.
[[nodiscard]] checked<node> parse(std::string_view text, const std::string& file_name);

} // namespace gypsumstep::document
