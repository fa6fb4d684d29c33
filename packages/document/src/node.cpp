#include "gypsumstep/document/node.h"

#include <array>

namespace gypsumstep::document {

const char* kind_of(const node& value)
{
    static constexpr std::array<const char*, std::variant_size_v<node::value_type>> names{
        "null",     "a boolean", "an integer", "an integer",
        "a number", "a string",  "an array",   "an object"};
    return names.at(value.value.index());
}

} // namespace gypsumstep::document
