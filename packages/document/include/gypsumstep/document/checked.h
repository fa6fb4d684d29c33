/// \file
/// A value read from a document and the findings about it.
#pragma once

#include "gypsumstep/base/finding.h"

#include <algorithm>
#include <optional>

namespace gypsumstep::document {

/// True if one of \p problems is an error.
[[nodiscard]] inline bool has_error(const findings& problems)
{
    return std::ranges::any_of(
        problems, [](const finding& problem) { return problem.level == severity::error; });
}

/// A value and the findings about it. The value is present if no finding is an error;
/// there may be warnings about it.
template <class T>
struct checked {
    std::optional<T> value;
    findings problems; ///< in the order of their places

    [[nodiscard]] bool has_value() const { return value.has_value(); }
};

/// Sorts \p problems by place and drops \p value if one of them is an error.
template <class T>
[[nodiscard]] checked<T> make_checked(std::optional<T> value, findings problems)
{
    std::ranges::stable_sort(problems, {}, &finding::place);
    if (has_error(problems)) {
        value.reset();
    }
    return {std::move(value), std::move(problems)};
}

} // namespace gypsumstep::document
