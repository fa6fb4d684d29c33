/// \file
/// What a session owns, and what has to be replayed so that a server connection matches it.
#pragma once

#include "gypsumstep/statement/server_command.h"
#include "gypsumstep/statement/statement.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace gypsumstep::statement {

/// Values and prepared statements that were acknowledged to a session's client.
class session_state {
public:
    /// Acknowledged values by name.
    using value_map = std::map<std::string, std::string, std::less<>>;

    void set_value(std::string name, std::string value);
    void prepare(std::string name, prepared_statement shape);

    /// Forgets a prepared statement; false if there is none of this name.
    bool close(const std::string& name);

    /// The shape under a name; nullptr if there is none.
    [[nodiscard]] const prepared_statement* find(const std::string& name) const;

    [[nodiscard]] const value_map& values() const { return m_values; }

private:
    value_map m_values;
    std::map<std::string, prepared_statement, std::less<>> m_prepared;
};

/// What a server connection holds of the sessions that used it.
///
/// Prepared statements are shared between sessions: each shape has one name on the
/// connection, whatever names the clients chose.
class connection_state {
public:
    /// The name of a shape on every server connection.
    [[nodiscard]] static std::string name_of(const prepared_statement& shape);

    /// The next command that brings the connection closer to \p session, and to having
    /// \p needed prepared; nothing if a statement of the session may run.
    [[nodiscard]] std::optional<server_command> next_replay(const session_state& session,
                                                            const prepared_statement* needed) const;

    /// Number of commands that next_replay() would need; lower is a better match.
    [[nodiscard]] std::size_t replay_cost(const session_state& session) const;

    /// Records that the server acknowledged \p command.
    void on_acknowledged(const server_command& command);

    /// Records that the server does not have \p shape.
    void forget(const prepared_statement& shape);

private:
    [[nodiscard]] bool has_foreign_value(const session_state::value_map& wanted) const;

    session_state::value_map m_values;
    std::set<std::string, std::less<>> m_prepared;
};

} // namespace gypsumstep::statement
