/// \file
/// A JSON value with its position in the source text.
#pragma once

#include "gypsumstep/base/finding.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace gypsumstep::document {

struct member;
struct node;

/// The elements of a JSON array.
using array = std::vector<node>;

/// The members of a JSON object in the order of the source text.
using object = std::vector<member>;

/// A JSON value with the position of its first character.
///
/// Integers that are not negative are stored as std::uint64_t, others as std::int64_t;
/// integers beyond 64 bits and fractions are stored as double.
struct node {
    using value_type = std::variant<std::nullptr_t, bool, std::int64_t, std::uint64_t, double,
                                    std::string, array, object>;

    source_place place;
    value_type value;
};

/// One key of an object and its value.
struct member {
    std::string key;
    source_place place; ///< position of the key
    node value;
};

/// Name of the JSON type of \p value for messages: "a number", "an object", ...
[[nodiscard]] const char* kind_of(const node& value);

} // namespace gypsumstep::document
