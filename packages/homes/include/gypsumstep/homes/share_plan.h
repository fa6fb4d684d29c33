/// \file
/// How two homes divide a backend server's connections and slots.
#pragma once

#include <cstdint>

namespace gypsumstep::homes {

/// This daemon's part in serving a backend server.
enum class home_duty : std::uint8_t {
    none,   ///< not a home; gives up what it still holds
    first,  ///< home of the higher weight beside a second one
    second, ///< home of the lower weight
    sole,   ///< the only home
};

/// What a backend server can bear.
struct server_limits {
    std::uint32_t connections{1};
    std::uint32_t slots{1}; ///< at most \c connections

    friend bool operator==(const server_limits&, const server_limits&) = default;
};

/// Connections that a home must hold for each statement that it runs at a time.
///
/// The smallest number for which the homes together never run more statements
/// than there are slots, however the connections are distributed among them.
[[nodiscard]] std::uint32_t connections_per_slot(const server_limits& limits);

/// Statements that a home may run at a time while it holds \p connections.
[[nodiscard]] std::uint32_t slots_for(const server_limits& limits, std::uint32_t connections);

/// Connections that a home of this duty should hold.
[[nodiscard]] std::uint32_t planned_connections(const server_limits& limits, home_duty duty);

} // namespace gypsumstep::homes
