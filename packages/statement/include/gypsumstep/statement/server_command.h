/// \file
/// Commands that the proxy sends to a backend server, and the server's status.
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
    forward, ///< forwards a client's statement
    begin,   ///< sent by the proxy; its success also confirms that the server is the primary
    begin_read_only, ///< sent by the proxy
    rollback,        ///< sent by the proxy
    set,             ///< replays a session value
    prepare,         ///< prepares a statement under a name that the proxy chose
    reset,           ///< clears session values and prepared statements
    status,          ///< requests server_status
    pause,           ///< the replica stops receiving the log until it is resumed or promoted
    demote,          ///< the primary stops taking writes
    resume,          ///< the replica receives the log again
};

/// A command to a backend server, encoded by the codec of the server protocol.
struct server_command {
    command_kind kind{command_kind::forward};
    std::string id;                           ///< forward: the client's statement id
    std::string text;                         ///< forward: the client's statement
    std::optional<log_position> min_position; ///< refused by a server whose log is behind it
    std::string name;                         ///< set, prepare
    std::string value;                        ///< set, prepare
    access mode{access::read};                ///< prepare
    term at_term;                             ///< pause, demote: term of the promotion

    friend bool operator==(const server_command&, const server_command&) = default;
};

/// The status that a server reports on request.
struct server_status {
    bool is_primary{false};
    term known_term;       ///< newest term that the server has seen
    log_position received; ///< newest log entry that the server holds
    duration replication_lag{0};

    friend bool operator==(const server_status&, const server_status&) = default;
};

} // namespace gypsumstep::statement
