/// \file
/// Timing and limits of the gossip.
#pragma once

#include "gypsumstep/base/time.h"

#include <cstddef>
#include <cstdint>

namespace gypsumstep::membership {

/// The same on every daemon of a fleet.
struct gossip_settings {
    duration probe_period{1s};           ///< between probes while the byte budget allows
    duration direct_timeout{300ms};      ///< until other members are asked to probe
    duration probe_timeout{900ms};       ///< until a probe has failed
    duration suspicion_timeout{3s};      ///< until a suspect is declared dead
    duration push_delay{20ms};           ///< collects rumours that arrive together
    duration snapshot_interval{1500ms};  ///< between requests for parts of a snapshot
    duration snapshot_timeout{3s};       ///< until another peer is asked
    duration sync_interval{10s};         ///< between comparisons of differing tables
    duration settle_time{5s};            ///< an unchanged table is compared after this
    duration transient_lifetime{60s};    ///< until a transient payload is forgotten
    duration tombstone_lifetime{24h};    ///< until a dead or departed member is forgotten
    duration link_alert_interval{30s};   ///< between alerts about the same failure domain
    std::uint32_t indirect_probes{3};    ///< members asked to probe in our place
    std::uint32_t push_fanout{4};        ///< members that get a new rumour at once
    std::uint32_t cross_domain_every{5}; ///< each Nth probe goes to another failure domain
    std::uint32_t cut_probes{3};         ///< failed probes in a row until a domain is cut off
    double retransmit_factor{1.0};       ///< a rumour is sent this times log2(members) times
    std::size_t news_bytes{600};         ///< rumours that ride on one message, in bytes
    std::size_t rumour_limit{1'024};     ///< rumours that wait to be sent
    double budget_bytes_per_second{700}; ///< sent, with headers and without snapshots
    double snapshot_bytes_per_second{800};

    friend bool operator==(const gossip_settings&, const gossip_settings&) = default;
};

} // namespace gypsumstep::membership
