/// \file
/// Limits of the proxy. Each is a starting point that the sites' own figures refine.
#pragma once

#include "gypsumstep/base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace gypsumstep::proxy {

/// During a shutdown idle sessions are closed over this time, so that their clients do
/// not all connect elsewhere at once. The balancer has stopped sending new ones by then.
inline constexpr duration session_close_window = 2s;

/// Pause before a server that reported no capacity gets work again.
inline constexpr duration busy_pause = 10ms;

/// Where this daemon is and what it may use.
struct options {
    std::string daemon;                                      ///< its name in logs and claims
    std::string domain;                                      ///< its failure domain
    std::map<std::string, std::string, std::less<>> regions; ///< region of each domain
    std::uint64_t seed{0};

    /// Time from the request to stop until the process is killed.
    duration shutdown_grace{6s};

    /// Statements of this daemon that a server runs at a time. More only lengthen the
    /// server's own queue, which knows no priorities.
    std::uint32_t statements_per_server{3};

    /// Places that only the most urgent statements use, on top.
    std::uint32_t urgent_reserve{1};

    /// Most connections to one server of a group that this daemon has no share of; adapts to
    /// what the server admits.
    std::uint32_t connections_per_server{4};

    /// Connections to one server that stay open without use. A server counts the
    /// connections of daemons that lost power for some seconds, and the restarted daemons
    /// need as many again.
    std::uint32_t resting_connections{2};

    /// Rest after which a connection beyond these is closed.
    duration connection_rest{500ms};

    /// Time for a connection to be opened and its session to be started.
    duration connect_limit{1s};

    /// Time for an answer to a command of the proxy's own.
    duration own_command_limit{2s};

    /// Statements of one session that may wait for earlier ones.
    std::size_t max_pipelined{16};

    friend bool operator==(const options&, const options&) = default;
};

} // namespace gypsumstep::proxy
