/// \file
/// The fleets that floods are run on.
#pragma once

#include "gypsumstep/admission/queue_settings.h"
#include "gypsumstep/base/rank.h"
#include "gypsumstep/base/time.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace gypsumstep::flood {

/// The work of one rank.
struct rank_work {
    duration service_time; ///< mean time on a server
    duration target;       ///< latency that counts as good; also the deadline
    double floor;          ///< share of slot time kept under a flood
    double load;           ///< normal demand, as a share of all slots
    bool primary_only;     ///< writes run on primaries, reads on any server

    friend bool operator==(const rank_work&, const rank_work&) = default;
};

/// A fleet: each group has one server in each failure domain; the first one of group g
/// in domain g modulo their number is its primary.
struct site {
    std::string name;
    std::vector<std::uint32_t> group_slots; ///< slots of each server, by group
    std::uint32_t domains{3};
    std::uint32_t daemons_per_domain{3};
    std::uint32_t connections{30};            ///< of each server
    duration connect_time{10ms};              ///< time to open a connection
    duration within_domain{100};              ///< one-way delay
    duration between_domains{20ms};           ///< one-way delay; each lies in its own region
    std::array<rank_work, rank_count> work{}; ///< by rank
};

/// The forge's ledger: three groups of three servers with five slots.
[[nodiscard]] site holmgaard();

/// The mix catalogue: three groups of three servers with three slots.
[[nodiscard]] site mixlume();

/// Both users' groups in one fleet.
[[nodiscard]] site mixed();

/// The queue settings that follow from a site's work.
[[nodiscard]] admission::queue_settings settings_of(const site& value);

} // namespace gypsumstep::flood
