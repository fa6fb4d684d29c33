/// \file
/// What a whole fleet of membership cores notices of deaths, cuts and joins.
#pragma once

#include <cstdint>

namespace gypsumstep::experiments {

/// Times are virtual seconds since the fault.
struct fault_result {
    double dead_own_domain{0}; ///< until the last member of the domain holds it dead, worst death
    double dead_everywhere{0}; ///< until the last member of the fleet does, worst death
    double cut_median{0};      ///< until half of the members outside hold a cut domain unreachable
    double cut_worst{0};  ///< until the last of them does; the length of the cut if it never did
    double cut_deaths{0}; ///< members of either side declared dead because of the cut
    double heal_worst{0}; ///< until the last one holds the domain reachable again
    double join_own_domain{0}; ///< until a joining daemon knows its own domain
    double join_complete{0};   ///< until it knows everything
    double join_bytes_in{0};   ///< per second while it joins, with headers
};

/// Kills members one by one, cuts off a domain for ten minutes, heals it, adds a member.
[[nodiscard]] fault_result run_faults(std::uint32_t members, double loss, std::uint64_t seed);

} // namespace gypsumstep::experiments
