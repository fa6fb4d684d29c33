/// \file
/// The fleet's configuration as typed, immutable values.
#pragma once

#include "gypsumstep/base/ids.h"
#include "gypsumstep/base/rank.h"
#include "gypsumstep/base/time.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace gypsumstep::fleet {

/// A failure domain and its region.
struct domain {
    domain_id id;
    std::string name;
    std::string region;

    friend bool operator==(const domain&, const domain&) = default;
};

/// A backend server and its capacity.
struct server {
    server_id id;
    group_id group;
    domain_id failure_domain;
    std::string name;
    std::string address;           ///< numeric IP address
    std::uint16_t port{0};         ///< port of the PostgreSQL protocol
    std::uint32_t slots{1};        ///< statements that run at the same time, at least 1
    std::uint32_t connections{1};  ///< maximum open connections, at least slots
    duration connect_time{10'000}; ///< time to open a new connection
    bool leaving{false};           ///< true: gets no new work

    friend bool operator==(const server&, const server&) = default;
};

/// A database group: servers that replicate the same log.
struct group {
    group_id id;
    std::string name;
    std::string service;
    std::vector<server_id> servers;
    bool automation{true}; ///< false: failover only by an operator's order

    friend bool operator==(const group&, const group&) = default;
};

/// Service objective and limits of a rank (priority class).
struct rank_target {
    duration latency{100'000}; ///< a request answered within this time is good
    double objective{0.99};    ///< share of requests that should be good, in (0, 1)
    double slot_floor{0.0};    ///< share of a server's slots reserved under overload, in [0, 1)
    std::uint32_t queue_limit{1000}; ///< maximum requests queued for one server

    friend bool operator==(const rank_target&, const rank_target&) = default;
};

/// One version of the configuration.
///
/// Servers and groups are stored in the order of their ids, which start at 0
/// and have no gaps, so that an id is an index.
struct document {
    config_version version;
    std::vector<domain> domains;
    std::vector<group> groups;
    std::vector<server> servers;
    std::array<rank_target, rank_count> ranks{};

    friend bool operator==(const document&, const document&) = default;
};

} // namespace gypsumstep::fleet
