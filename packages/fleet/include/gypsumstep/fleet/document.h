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

/// A failure domain and the region that it lies in.
struct domain {
    domain_id id;
    std::string name;
    std::string region;

    friend bool operator==(const domain&, const domain&) = default;
};

/// A backend server and what it can bear.
struct server {
    server_id id;
    group_id group;
    domain_id failure_domain;
    std::string name;
    std::string address;           ///< IP number
    std::uint16_t port{0};         ///< PostgreSQL protocol
    std::uint32_t slots{1};        ///< statements that run at a time, at least 1
    std::uint32_t connections{1};  ///< open connections, at least slots
    duration connect_time{10'000}; ///< how long a new connection takes
    bool leaving{false};           ///< takes no new work

    friend bool operator==(const server&, const server&) = default;
};

/// A database group: servers that replicate one log.
struct group {
    group_id id;
    std::string name;
    std::string service;
    std::vector<server_id> servers;
    bool automation{true}; ///< false: no failover except by order

    friend bool operator==(const group&, const group&) = default;
};

/// What a rank is promised.
struct rank_target {
    duration latency{100'000};       ///< a request within this counts as good
    double objective{0.99};          ///< share of requests that should be good, in (0, 1)
    double slot_floor{0.0};          ///< share of a server's slots kept under a flood, in [0, 1)
    std::uint32_t queue_limit{1000}; ///< requests queued for one server

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
