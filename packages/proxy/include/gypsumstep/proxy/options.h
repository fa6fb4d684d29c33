/// \file
/// Options and limits of the proxy.
#pragma once

#include "gypsumstep/base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace gypsumstep::proxy {

/// Backoff before a server that reported no capacity gets more statements.
inline constexpr duration busy_backoff = 10ms;

/// Identity, location and limits of this daemon.
struct options {
    std::string daemon; ///< this daemon's name in logs and claims
    std::string domain; ///< this daemon's failure domain
    std::map<std::string, std::string, std::less<>> regions; ///< region of each failure domain
    std::uint64_t seed{0};                                   ///< seed of the random numbers

    /// Time between the start of a shutdown and the kill of the process.
    duration shutdown_grace{6s};

    /// Whether the platform stops the old primary of a group when it promotes another server, and
    /// refuses orders with an old token. Otherwise the daemons make sure of both themselves.
    bool old_primary_stops{true};

    /// Maximum number of statements that this daemon runs on a server at the same time. More
    /// would only lengthen the server's own queue, which has no priorities.
    std::uint32_t statements_per_server{3};

    /// Additional concurrent statements per server, reserved for the most urgent rank.
    std::uint32_t urgent_reserve{1};

    /// Maximum number of connections to each server of a group for which this daemon has no
    /// share. The limit in use adapts to what the server accepts.
    std::uint32_t connections_per_server{4};

    /// Idle connections to one server that stay open. A server still counts the connections
    /// of a daemon that lost power for some seconds, while the restarted daemon needs as many
    /// again, so this number is kept small.
    std::uint32_t min_idle_connections{2};

    /// Idle time after which a connection beyond min_idle_connections is closed.
    duration idle_connection_timeout{500ms};

    /// Timeout for opening a connection and starting a session on it.
    duration connect_timeout{1s};

    /// Timeout for commands that the proxy itself issues, such as BEGIN and ROLLBACK.
    duration internal_command_timeout{2s};

    /// Whether clients need the key of a client account even if the configuration has no list of
    /// accounts.
    bool accounts_required{false};

    /// Whether servers that fail, lose or do not answer requests get fewer of them, and whether
    /// load decides when reads leave their region. Off where the platform's liveness checks can be
    /// relied on.
    bool adapts_to_uneven_servers{true};

    /// Maximum number of statements of a session that wait for an earlier one to finish.
    std::size_t max_pipelined{16};

    friend bool operator==(const options&, const options&) = default;
};

} // namespace gypsumstep::proxy
