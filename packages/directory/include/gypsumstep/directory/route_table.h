/// \file
/// The routes in force: which database a client may use, and what its reads must see.
#pragma once

#include "gypsumstep/base/ids.h"
#include "gypsumstep/base/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumstep::directory {

/// What the reads of a route must see.
enum class consistency : std::uint8_t {
    primary,          ///< every acknowledged commit
    bounded_age,      ///< every commit acknowledged before max_staleness ago
    read_your_writes, ///< as bounded, and every commit of the same session
};

/// One route: a database name that clients use.
struct route {
    std::string database;
    std::string service; ///< database group that serves it
    consistency read_consistency{consistency::primary};
    duration statement_timeout{0}; ///< of one statement
    duration target_latency{0};    ///< of a whole operation, without its pauses
    std::uint32_t priority{0};     ///< 0 is served first
    duration max_staleness{0};

    friend bool operator==(const route&, const route&) = default;
};

/// What the configuration says of a database group.
struct service_settings {
    std::uint32_t max_connections{0}; ///< of each server, from all callers together
    std::uint32_t sync_replicas{0};   ///< replicas that hold a commit before it is acknowledged

    friend bool operator==(const service_settings&, const service_settings&) = default;
};

/// One version of the configuration.
struct configuration {
    config_version version;
    std::vector<route> routes;
    std::map<std::string, service_settings, std::less<>> services;
    duration transaction_idle_timeout{0}; ///< an open transaction that rests longer may be ended

    friend bool operator==(const configuration&, const configuration&) = default;
};

/// The newest configuration that this process has seen; it never goes back.
class route_table {
public:
    /// Puts a configuration in force; false if it is not newer than the present one.
    bool apply(configuration next);

    /// The route of a database; nullptr if there is none.
    [[nodiscard]] const route* find(std::string_view database) const;

    /// Settings of a group; defaults if the configuration does not name it.
    [[nodiscard]] service_settings settings_of(std::string_view service) const;

    [[nodiscard]] bool loaded() const { return m_loaded; }
    [[nodiscard]] config_version version() const { return m_current.version; }
    [[nodiscard]] const configuration& current() const { return m_current; }

    /// The largest staleness of any route.
    [[nodiscard]] duration max_staleness() const;

private:
    configuration m_current;
    std::map<std::string, std::size_t, std::less<>> m_by_database;
    bool m_loaded{false};
};

} // namespace gypsumstep::directory
