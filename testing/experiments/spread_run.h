/// \file
/// A whole fleet of membership cores in virtual time.
#pragma once

#include <cstdint>

namespace gypsumstep::experiments {

/// What a fleet measured.
struct spread_result {
    double median_seconds{0};  ///< until half of the members have a rumour, median of rounds
    double worst_seconds{0};   ///< until the last member has it, worst round
    double unreached{0};       ///< members that lacked it after the round, all rounds together
    double bytes_out{0};       ///< per member and second
    double worst_bytes_out{0}; ///< per second, of the member that sent most
    double messages_out{0};    ///< per member and second
    double false_suspicions{0};
    double state_bytes{0}; ///< per member
};

/// Publishes \p rounds configuration changes, one each 7.2 virtual seconds.
///
/// \param loss share of messages lost
[[nodiscard]] spread_result run_spread(std::uint32_t members, double loss, int rounds,
                                       std::uint64_t seed);

} // namespace gypsumstep::experiments
