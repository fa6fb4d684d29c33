/// \file
/// What daemons read from the store and pass on to each other.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace gypsumstep::edge {

/// A table of the store that all daemons follow.
enum class store_subject : std::uint8_t {
    configuration, ///< the operator's configuration
    servers,       ///< the backend servers' registrations
    daemons,       ///< the daemons' announcements
};

inline constexpr std::size_t store_subject_count = 3;

inline constexpr std::array<store_subject, store_subject_count> all_store_subjects{
    store_subject::configuration, store_subject::servers, store_subject::daemons};

/// Returns the index of a subject in arrays that hold something for each.
[[nodiscard]] constexpr std::size_t index_of(store_subject subject)
{
    return static_cast<std::size_t>(subject);
}

} // namespace gypsumstep::edge
