/// \file
/// Divides the connections that a server accepts among the daemons that use it.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace gypsumstep::dispatch {

/// The input to a daemon's share of a server's connections.
struct share_input {
    std::uint32_t max_connections{0}; ///< accepted by the server from all daemons together
    std::uint32_t homes{0};           ///< daemons that share the server
    std::uint32_t homes_near{0};      ///< of these, those that mostly use this server
    bool is_near{false};              ///< whether this daemon mostly uses this server
    bool is_primary{false};

    friend bool operator==(const share_input&, const share_input&) = default;
};

/// Returns how many connections this daemon may have to the server; at least 1. The shares of
/// all daemons together stay below \c max_connections, by what a restarted daemon needs while the
/// server still counts its former connections.
///
/// At the primary every daemon needs connections, for writes. At a replica mostly the daemons of
/// its region do; the others keep some for when their own region's server is gone.
[[nodiscard]] std::uint32_t connection_share(const share_input& input);

/// Returns the number of homes that mostly use a server of \p region: those of its region, and
/// those of regions without a server, whose reads all leave their region.
[[nodiscard]] std::uint32_t
count_homes_near(const std::map<std::string, std::uint32_t>& homes_by_region,
                 const std::set<std::string>& served_regions, const std::string& region);

} // namespace gypsumstep::dispatch
