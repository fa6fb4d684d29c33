/// \file
/// The fleets on which floods are simulated.
#pragma once

#include "gypsumstep/admission/queue_settings.h"
#include "gypsumstep/base/rank.h"
#include "gypsumstep/base/time.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace gypsumstep::flood {

/// The requests of one rank.
struct rank_work {
    duration service_time; ///< mean service time on a server
    duration target;       ///< highest latency that counts as good; also the deadline
    double floor;          ///< slot floor: share of slot time guaranteed under a flood
    double load;           ///< normal demand, as a share of all slots
    bool primary_only;     ///< true: writes, which run on primaries; false: reads

    friend bool operator==(const rank_work&, const rank_work&) = default;
};

/// A fleet. Each group has one server in each failure domain; the primary of group g is its server
/// in domain g modulo the number of domains.
struct site {
    std::string name;
    std::vector<std::uint32_t> group_slots; ///< slots of each server of a group, by group
    std::uint32_t domains{3};
    std::uint32_t daemons_per_domain{3};
    std::uint32_t connections{30};  ///< highest number of connections of each server
    duration connect_time{10ms};    ///< time to open a connection
    duration within_domain{100};    ///< one-way delay
    duration between_domains{20ms}; ///< one-way delay; each domain is in a region of its own
    std::array<rank_work, rank_count> work{}; ///< by rank
};

/// The forge's ledger: three groups of three servers with five slots.
[[nodiscard]] site holmgaard();

/// The mix catalogue: three groups of three servers with three slots.
[[nodiscard]] site mixlume();

/// Both users' groups in one fleet.
[[nodiscard]] site mixed();

/// The queue settings for a site: slot floors and timeouts from its work.
[[nodiscard]] admission::queue_settings settings_of(const site& value);

} // namespace gypsumstep::flood
