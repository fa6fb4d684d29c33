/// \file
/// Terms of a group and positions in its replicated log.
#pragma once

#include "gypsumstep/base/strong_value.h"

#include <optional>
#include <string>
#include <string_view>

namespace gypsumstep {

/// A term of a group. Each term has at most one primary.
using term = strong_value<struct term_tag, std::uint64_t>;

/// The position of an entry in a group's log: the term in which it was written, and its index.
///
/// Ordered by term first. Indexes alone are not comparable across a failover, because entries
/// that had not reached a majority may have been replaced by others with the same index.
struct log_position {
    term entry_term;
    std::uint64_t index{0};

    friend constexpr auto operator<=>(const log_position&, const log_position&) = default;
};

/// Formats a position as "TERM/INDEX", e.g. "3/1042".
[[nodiscard]] std::string to_string(const log_position& position);

/// Parses the output of to_string(); nullopt if \p text is malformed.
[[nodiscard]] std::optional<log_position> parse_position(std::string_view text);

} // namespace gypsumstep
