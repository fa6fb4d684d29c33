/// \file
/// One membership core among synthetic peers.
#pragma once

#include <cstdint>

namespace gypsumstep::experiments {

/// The size of the fleet around the core, and what happens in it.
struct gossip_load {
    std::uint32_t members{50};
    std::uint32_t domains{19};
    double config_changes_per_day{12'000};
    double primary_changes_per_day{14};
    double member_changes_per_day{1'264}; ///< each restart is a death and a join
    std::uint32_t groups{6'800};          ///< of which the newest primary is kept
    double seconds{600};                  ///< virtual time
};

/// What the core cost.
struct gossip_cost {
    double state_bytes{0};
    double messages_in{0}; ///< per second
    double messages_out{0};
    double bytes_in{0}; ///< per second, with headers
    double bytes_out{0};
    double peak_bytes_out{0}; ///< in the worst second
    double core_percent{0};   ///< processor time of the core per virtual second
};

/// Runs the core. The peers answer at once, push each rumour several times in its
/// first second, and put it on their acks until it has spread.
[[nodiscard]] gossip_cost run_gossip_load(const gossip_load& load, std::uint64_t seed);

} // namespace gypsumstep::experiments
