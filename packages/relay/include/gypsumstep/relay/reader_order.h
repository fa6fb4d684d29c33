/// \file
/// Which daemons read the store for the others.
#pragma once

#include "gypsumstep/homes/home_table.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumstep::relay {

/// Fewest daemons of a failure domain that read the store as long as they can. Two, so that the
/// others have a second one to turn to while one is lost.
inline constexpr std::size_t first_readers = 2;

/// Daemons of a failure domain that each reader serves. A reader sends large contents to all of
/// them at once: 32 of 600 KB take a link of 200 Mbit/s 0.8 s, a fifth of the time that a
/// configuration has to be in force.
inline constexpr std::size_t daemons_per_reader = 32;

/// Daemons that read the store for others while none of the first readers is healthy.
inline constexpr std::size_t spare_readers = 4;

/// Daemons of a failure domain that may read the store for others, in domains that need no more
/// than first_readers.
inline constexpr std::size_t max_readers = first_readers + spare_readers;

/// Fewest daemons of a failure domain that share readers. With fewer, each reads for itself.
inline constexpr std::size_t min_daemons = 6;

/// Which readers a daemon turns to first.
struct reader_places {
    std::size_t first{first_readers}; ///< readers that read the store as long as they can
    std::size_t preferred{0};         ///< place of the reader that it turns to first

    friend bool operator==(const reader_places&, const reader_places&) = default;
};

/// Returns the number of first readers in a domain of \p daemons.
[[nodiscard]] std::size_t first_readers_of(std::size_t daemons);

/// Returns which readers daemon \p self turns to first. The daemons of a domain are spread evenly.
[[nodiscard]] reader_places places_for(std::string_view self, std::string_view domain,
                                       const std::vector<homes::daemon_entry>& daemons);

/// Returns the daemons of \p domain that may read the store for others, in the order in which they
/// do: those with more capacity first. Empty if the domain has too few daemons.
///
/// All daemons that list the same daemons agree on it. Disagreement costs calls, nothing else.
[[nodiscard]] std::vector<homes::daemon_entry>
readers_of(std::string_view domain, const std::vector<homes::daemon_entry>& daemons);

} // namespace gypsumstep::relay
