/// \file
/// The state of a session, and the commands that replay it on a server connection.
#pragma once

#include "gypsumstep/statement/server_command.h"
#include "gypsumstep/statement/statement.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace gypsumstep::statement {

/// Session values and prepared statements whose creation was acknowledged to the client.
class session_state {
public:
    /// Session values by name.
    using value_map = std::map<std::string, std::string, std::less<>>;

    void set_value(std::string name, std::string value);
    void prepare(std::string name, prepared_statement shape);

    /// Removes a prepared statement. Returns false if there is none of this name.
    bool close(const std::string& name);

    /// Returns the prepared statement of a name, or nullptr if there is none.
    [[nodiscard]] const prepared_statement* find(const std::string& name) const;

    [[nodiscard]] const value_map& values() const { return m_values; }

    /// Returns the size of all names, values and texts, in bytes.
    [[nodiscard]] std::size_t bytes() const { return m_bytes; }

private:
    value_map m_values;
    std::map<std::string, prepared_statement, std::less<>> m_prepared;
    std::size_t m_bytes{0};
};

/// The session values and prepared statements that a server connection currently holds.
///
/// Prepared statements are shared between sessions: each has one name on the connection, whatever
/// names the clients chose. The names are numbered, because a shape may hold any text.
class connection_state {
public:
    /// Returns the name that a prepared statement has on this connection. The server must have
    /// acknowledged its preparation: next_replay() returned nothing for it.
    [[nodiscard]] const std::string& name_of(const prepared_statement& shape) const;

    /// Returns the next command needed before a statement of \p session may run on the
    /// connection, or nothing if none is needed. \p needed is the prepared statement that it
    /// executes, or nullptr.
    [[nodiscard]] std::optional<server_command> next_replay(const session_state& session,
                                                            const prepared_statement* needed) const;

    /// Returns the number of commands that next_replay() would need for the session's values;
    /// lower is a better match.
    [[nodiscard]] std::size_t replay_cost(const session_state& session) const;

    /// Records that the server acknowledged \p command.
    void on_acknowledged(const server_command& command);

    /// Records that the server does not have this prepared statement.
    void forget(const prepared_statement& shape);

private:
    [[nodiscard]] bool has_foreign_value(const session_state::value_map& wanted) const;

    session_state::value_map m_values;
    std::map<prepared_statement, std::string> m_prepared; ///< name on the connection by statement
    std::uint64_t m_next_name{1};                         ///< names are not reused
};

} // namespace gypsumstep::statement
