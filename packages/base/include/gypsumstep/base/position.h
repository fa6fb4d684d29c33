/// \file
/// Where an entry stands in a group's replicated log.
#pragma once

#include "gypsumstep/base/strong_value.h"

#include <optional>
#include <string>
#include <string_view>

namespace gypsumstep {

/// A term of a group. Each term has at most one primary.
using term = strong_value<struct term_tag, std::uint64_t>;

/// An entry of a group's log: the term that wrote it, then its index.
///
/// Ordered by term first. An index alone says nothing across a failover, since
/// entries that no majority held may have been replaced by others.
struct log_position {
    term entry_term;
    std::uint64_t index{0};

    friend constexpr auto operator<=>(const log_position&, const log_position&) = default;
};

/// "TERM/INDEX", e.g. "3/1042".
[[nodiscard]] std::string to_string(const log_position& position);

/// Reads what to_string() wrote; nothing if \p text is malformed.
[[nodiscard]] std::optional<log_position> parse_position(std::string_view text);

} // namespace gypsumstep
