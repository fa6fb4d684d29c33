/// \file
/// Actions that the proxy returns for its embedding process to carry out.
#pragma once

#include "gypsumstep/base/ids.h"
#include "gypsumstep/base/time.h"
#include "gypsumstep/directory/route_table.h"
#include "gypsumstep/dispatch/server_choice.h"
#include "gypsumstep/promotion/coordinator.h"
#include "gypsumstep/promotion/peer_message.h"
#include "gypsumstep/statement/outcome.h"
#include "gypsumstep/statement/server_command.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace gypsumstep::proxy {

/// Identifies a connection to a backend server; unique within this process.
using server_connection_id = strong_value<struct server_connection_tag, std::uint64_t>;

/// Sends an answer to a client.
struct send_answer {
    session_id session;
    statement::answer content;
};

/// Answers a client's request to start a session. If the answer is an error, close_session
/// follows.
struct send_start_answer {
    session_id session;
    statement::answer content;
};

/// Closes a client's connection once all earlier answers have been written to it.
struct close_session {
    session_id session;
};

/// Opens a connection to a backend server and starts a session on it.
struct open_server_connection {
    server_connection_id connection;
    std::string host;
    std::uint16_t port{0};
    std::string service;
    std::string server;  ///< name of the server expected at this address
    std::string account; ///< client account that it is for; empty for none
};

/// Sends a command to a backend server.
struct send_command {
    server_connection_id connection;
    statement::server_command command;
};

/// Closes a connection to a backend server. The proxy expects no event for it afterwards.
struct close_server_connection {
    server_connection_id connection;
};

/// A step of a promotion that calls the store or the platform.
struct promotion_step {
    std::string service;
    promotion::action step;
};

/// Reads the newest claims on all groups from the store.
struct read_claims {};

/// Sends a message to another daemon. It may be lost.
struct send_peer_message {
    std::string daemon;
    promotion::peer_message content;
};

/// Requests that the list of servers is read again soon.
struct refresh_servers {};

/// Importance of a decision in the logs.
enum class importance : std::uint8_t { sampled, notice, failure };

/// A decision of the proxy, for the log and its metric: it concerns a statement or changes the
/// proxy's view of a group.
struct decision {
    importance level{importance::notice};
    const char* message{""}; ///< string literal; also the label of a metric
    std::string request;     ///< id of the client's statement; empty if the decision concerns none
    std::vector<std::pair<const char*, std::string>> inputs;
};

/// Reports an answered statement, for counters and histograms.
struct statement_finished {
    directory::consistency reads{directory::consistency::primary};
    statement::error_class outcome{statement::error_class::none};
    duration latency{0}; ///< from the arrival of the statement to its answer
    bool on_replica{false};
    std::optional<dispatch::proximity> read_distance; ///< to the server of a successful read
    bool sent_away{false}; ///< the read left its region because of the load there
};

/// Reports that the shutdown is complete and the process may exit: all client sessions are
/// closed or the grace period is nearly over.
struct shutdown_complete {};

using action = std::variant<send_answer, send_start_answer, close_session, open_server_connection,
                            send_command, close_server_connection, promotion_step, read_claims,
                            send_peer_message, refresh_servers, decision, statement_finished,
                            shutdown_complete>;

} // namespace gypsumstep::proxy
