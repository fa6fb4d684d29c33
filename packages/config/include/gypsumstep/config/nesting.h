/// \file
/// Checks the nesting depth of JSON and CBOR that other processes wrote.
///
/// nlohmann's CBOR reader, comparison and merge recurse once per level, so that
/// unbounded input could exhaust the stack.
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>

namespace gypsumstep::config {

/// Maximum number of levels of arrays and objects in a patch, a document or a message.
inline constexpr std::size_t nesting_limit = 64;

/// True if \p value has at most \p limit levels of arrays and objects.
[[nodiscard]] bool is_nested_within(const nlohmann::json& value, std::size_t limit);

/// True if \p body is well-formed CBOR of at most \p limit levels, and no
/// array or object in it declares more elements than \p body has bytes.
[[nodiscard]] bool is_bounded_cbor(const std::string& body, std::size_t limit);

} // namespace gypsumstep::config
