/// \file
/// Bounds on the nesting of JSON and CBOR that others wrote.
///
/// The library's CBOR reader, comparison and merge recurse with the nesting, so
/// that input without a bound could exhaust the stack.
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>

namespace gypsumstep::config {

/// Most levels of arrays and objects in a patch, a document or a message.
inline constexpr std::size_t nesting_limit = 64;

/// True if \p value has at most \p limit levels of arrays and objects.
[[nodiscard]] bool is_nested_within(const nlohmann::json& value, std::size_t limit);

/// True if \p body is well-formed CBOR of at most \p limit levels, whose arrays and
/// objects state no more elements than \p body has bytes.
[[nodiscard]] bool is_bounded_cbor(const std::string& body, std::size_t limit);

} // namespace gypsumstep::config
