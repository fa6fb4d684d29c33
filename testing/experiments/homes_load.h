/// \file
/// The home map and the share ledger of one daemon.
#pragma once

#include <cstdint>

namespace gypsumstep::experiments {

/// What the map of all homes cost one daemon.
struct home_map_cost {
    double state_bytes{0};
    double build_milliseconds{0};  ///< from nothing, with all daemons known
    double change_microseconds{0}; ///< one daemon removed or added, on average
    double servers_moved{0};       ///< whose homes change with one daemon, on average
    double homed_by_busiest{0};    ///< servers of the daemon that homes most
};

/// Runs a map of \p servers servers, three for each group, before \p daemons daemons.
[[nodiscard]] home_map_cost run_home_map(std::uint32_t servers, std::uint32_t daemons,
                                         std::uint16_t domains);

/// What the ledger cost one daemon.
struct ledger_cost {
    double state_bytes{0};
    double take_over_microseconds{0}; ///< processor time to open all connections of all servers
    double statement_nanoseconds{0};  ///< to take and give back one slot
};

/// Runs a ledger for \p servers servers that this daemon homes.
[[nodiscard]] ledger_cost run_share_ledger(std::uint32_t servers);

} // namespace gypsumstep::experiments
