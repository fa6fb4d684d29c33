/// \file
/// Which daemons read the store for the others.
#pragma once

#include "gypsumstep/homes/home_table.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumstep::relay {

/// Daemons of a failure domain that read the store as long as they can. Two, so that the others
/// have a second one to turn to while one is lost.
inline constexpr std::size_t first_readers = 2;

/// Daemons of a failure domain that may read the store for others.
inline constexpr std::size_t max_readers = 6;

/// Fewest daemons of a failure domain that share readers. With fewer, each reads for itself.
inline constexpr std::size_t min_daemons = 6;

/// Returns the daemons of \p domain that may read the store for others, in the order in which they
/// do: those with more capacity first. Empty if the domain has too few daemons.
///
/// All daemons that list the same daemons agree on it. Disagreement costs calls, nothing else.
[[nodiscard]] std::vector<homes::daemon_entry>
readers_of(std::string_view domain, const std::vector<homes::daemon_entry>& daemons);

} // namespace gypsumstep::relay
