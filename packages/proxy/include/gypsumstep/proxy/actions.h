/// \file
/// What the proxy asks its surroundings to do.
#pragma once

#include "gypsumstep/base/ids.h"
#include "gypsumstep/base/time.h"
#include "gypsumstep/directory/route_table.h"
#include "gypsumstep/promotion/coordinator.h"
#include "gypsumstep/statement/outcome.h"
#include "gypsumstep/statement/server_command.h"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace gypsumstep::proxy {

/// A connection to a backend server, unique within this process.
using server_connection_id = strong_value<struct server_connection_tag, std::uint64_t>;

/// Sends an answer to a client.
struct send_answer {
    session_id session;
    statement::answer content;
};

/// Answers the start of a session; an error is followed by close_session.
struct send_start_answer {
    session_id session;
    statement::answer content;
};

/// Closes a client's connection after everything sent before was written.
struct close_session {
    session_id session;
};

/// Opens a connection to a server and starts a session on it.
struct open_server_connection {
    server_connection_id connection;
    std::string host;
    std::uint16_t port{0};
    std::string service;
    std::string server; ///< the instance that must answer there
};

/// Sends a command to a server.
struct send_command {
    server_connection_id connection;
    statement::server_command command;
};

/// Closes a connection to a server; no event follows.
struct close_server_connection {
    server_connection_id connection;
};

/// A step of a promotion that needs the store or the platform.
struct promotion_step {
    std::string service;
    promotion::action step;
};

/// The list of servers should be read again soon.
struct refresh_servers {};

/// How important a decision is in the logs.
enum class importance : std::uint8_t { sampled, notice, failure };

/// One decision that concerns a request or changes what the proxy believes.
struct decision {
    importance level{importance::notice};
    const char* message{""}; ///< a fixed text
    std::string request;     ///< client's statement id; empty if none is concerned
    std::vector<std::pair<const char*, std::string>> inputs;
};

/// A statement was answered; for counters and histograms.
struct statement_finished {
    directory::consistency reads{directory::consistency::primary};
    statement::error_class outcome{statement::error_class::none};
    duration latency{0}; ///< from its arrival to its answer
    bool on_replica{false};
};

/// The process may end: no client has a connection any more.
struct shutdown_complete {};

using action = std::variant<send_answer, send_start_answer, close_session, open_server_connection,
                            send_command, close_server_connection, promotion_step, refresh_servers,
                            decision, statement_finished, shutdown_complete>;

} // namespace gypsumstep::proxy
