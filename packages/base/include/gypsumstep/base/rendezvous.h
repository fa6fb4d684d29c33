/// \file
/// Weighted rendezvous hashing, with the same results on every VM.
#pragma once

#include <cstdint>
#include <string_view>

namespace gypsumstep {

/// Returns the FNV-1a hash of a text.
[[nodiscard]] std::uint64_t stable_hash(std::string_view text);

/// Returns the score of a candidate; the highest one is selected. Its chance grows with the square
/// of the capacity, since a slow daemon also answers each request later.
/// \param hash of the candidate and of what it is selected for
/// \param capacity in any unit; 0 counts as 1
[[nodiscard]] double rendezvous_score(std::uint64_t hash, std::uint32_t capacity);

} // namespace gypsumstep
