/// \file
/// The active routes: which databases clients may use, and which commits their reads must see.
#pragma once

#include "gypsumstep/accounts/account_table.h"
#include "gypsumstep/base/ids.h"
#include "gypsumstep/base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumstep::directory {

/// The commits that the reads of a route must see.
enum class consistency : std::uint8_t {
    primary,          ///< every acknowledged commit
    bounded_age,      ///< every commit acknowledged before max_staleness ago
    read_your_writes, ///< as bounded_age, and every commit of the same session
};

/// One route: a database name that clients use.
struct route {
    std::string database;
    std::string service; ///< database group that serves the database
    consistency read_consistency{consistency::primary};
    duration statement_timeout{0}; ///< limit for one statement
    duration target_latency{0};    ///< target for a whole operation, without the client's pauses
    std::uint32_t priority{0};     ///< 0 is served first
    duration max_staleness{0};     ///< applies unless reads see every acknowledged commit
    bool is_public{false};         ///< clients need no key of a client account

    friend bool operator==(const route&, const route&) = default;
};

/// Settings of a database group.
struct service_settings {
    std::uint32_t max_connections{0}; ///< limit of each server, for all daemons together
    std::uint32_t sync_replicas{0};   ///< replicas that hold a commit before it is acknowledged

    friend bool operator==(const service_settings&, const service_settings&) = default;
};

/// One version of the configuration.
struct configuration {
    config_version version;
    std::vector<route> routes;
    std::map<std::string, service_settings, std::less<>> services;
    duration transaction_idle_timeout{0}; ///< an open transaction idle for longer may be ended
    /// The client accounts; empty if the configuration has no list of them.
    std::optional<accounts::account_table> accounts;
    std::vector<std::string> ignored_entries; ///< malformed entries, each with its problem

    friend bool operator==(const configuration&, const configuration&) = default;
};

/// Holds the newest configuration that this process has seen. The version only increases.
class route_table {
public:
    /// Replaces the configuration. Returns false, and changes nothing, if \p next is not newer.
    bool apply(configuration next);

    /// Returns the route of a database, or nullptr if there is none.
    [[nodiscard]] const route* find(std::string_view database) const;

    /// Returns the settings of a group, or defaults if the configuration does not name it.
    [[nodiscard]] service_settings settings_of(std::string_view service) const;

    [[nodiscard]] bool loaded() const { return m_loaded; }
    [[nodiscard]] config_version version() const { return m_current.version; }
    [[nodiscard]] const configuration& current() const { return m_current; }

    /// Returns the largest max_staleness of any route.
    [[nodiscard]] duration max_staleness() const;

private:
    configuration m_current;
    std::map<std::string, std::size_t, std::less<>> m_by_database;
    bool m_loaded{false};
};

} // namespace gypsumstep::directory
