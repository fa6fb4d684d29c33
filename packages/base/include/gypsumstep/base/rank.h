/// \file
/// Ranks: the priority classes of requests, most urgent first.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace gypsumstep {

/// The priority class of a request. Lower values are served first.
enum class rank : std::uint8_t {
    urgent = 0,
    next = 1,
    last = 2,
};

/// Number of ranks.
inline constexpr std::size_t rank_count = 3;

/// All ranks, most urgent first.
inline constexpr std::array<rank, rank_count> all_ranks{rank::urgent, rank::next, rank::last};

/// The index of a rank in an array of rank_count entries.
[[nodiscard]] constexpr std::size_t index_of(rank value)
{
    return static_cast<std::size_t>(value);
}

} // namespace gypsumstep
