/// \file
/// Divides the connections that a server accepts among the daemons that use it.
#pragma once

#include <cstdint>

namespace gypsumstep::dispatch {

/// The input to a daemon's share of a server's connections.
struct share_input {
    std::uint32_t max_connections{0}; ///< accepted by the server from all daemons together
    std::uint32_t homes{0};           ///< daemons that share the server
    std::uint32_t homes_near{0};      ///< of these, those in the server's region
    bool is_near{false};              ///< whether this daemon is in the server's region
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

} // namespace gypsumstep::dispatch
