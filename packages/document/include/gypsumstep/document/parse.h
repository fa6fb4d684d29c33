/// \file
/// Parses JSON with comments, keeping the place of every key and value.
#pragma once

#include "gypsumstep/document/checked.h"
#include "gypsumstep/document/node.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace gypsumstep::document {

/// How deep arrays and objects may be nested.
inline constexpr std::size_t max_depth = 32;

/// Parses \p text as JSON in which // and /* */ comments are allowed.
///
/// A syntax error gives one finding, at the token where it was noticed. Duplicate keys
/// of one object are all reported. \p file_name only appears in places.
[[nodiscard]] checked<node> parse(std::string_view text, const std::string& file_name);

} // namespace gypsumstep::document
