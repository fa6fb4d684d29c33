/// \file
/// What the proxy sends on a connection to a backend server.
#pragma once

#include "gypsumstep/base/position.h"
#include "gypsumstep/base/time.h"
#include "gypsumstep/statement/statement.h"

#include <cstdint>
#include <optional>
#include <string>

namespace gypsumstep::statement {

/// The kind of a command.
enum class command_kind : std::uint8_t {
    forward,         ///< a client's statement
    begin,           ///< of the proxy; also proves that the server is the primary
    begin_read_only, ///< of the proxy
    rollback,        ///< of the proxy
    set,             ///< replays a session value
    prepare,         ///< prepares a shape under the connection's own name
    reset,           ///< clears session values and prepared statements
    status,
    pause,  ///< the replica stops receiving until it is resumed or promoted
    demote, ///< the primary stops taking writes
    resume, ///< the replica receives again
};

/// One command; the codec of the servers' protocol writes it.
struct server_command {
    command_kind kind{command_kind::forward};
    std::string id;                           ///< client's id of a forwarded statement
    std::string text;                         ///< forwarded text
    std::optional<log_position> min_position; ///< refused by a server whose log lacks it
    std::string name;                         ///< set, prepare
    std::string value;                        ///< set, prepare
    access mode{access::read};                ///< prepare
    term at_term;                             ///< pause, demote

    friend bool operator==(const server_command&, const server_command&) = default;
};

/// What a server says of itself on request.
struct server_status {
    bool is_primary{false};
    term known_term;       ///< newest term that it has seen
    log_position received; ///< newest entry that it holds
    duration replication_lag{0};

    friend bool operator==(const server_status&, const server_status&) = default;
};

} // namespace gypsumstep::statement
