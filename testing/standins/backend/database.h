/// \file
/// Embedded SQLite database of the backend stand-in.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

struct sqlite3;

namespace gypsumstep::standin {

/// How a statement ended.
enum class statement_status {
    done,
    locked,        ///< another session's transaction is in the way; try again
    failed,        ///< SQL error, see the message
    write_refused, ///< changes data on a server that takes no writes
};

/// What one statement returned.
struct statement_result {
    statement_status status{statement_status::done};
    std::string message;
    bool unique_violation{false};
    bool is_query{false};
    std::vector<std::string> columns;
    std::vector<std::vector<std::optional<std::string>>> rows;
    std::string tag;
    std::size_t consumed{0}; ///< bytes of the SQL text that were run
};

using parameter_list = std::vector<std::optional<std::string>>;

/// One session's connection to the shared in-memory database.
class database_session {
public:
    /// \param name database shared by every session opened with the same name
    explicit database_session(const std::string& name);
    ~database_session();
    database_session(const database_session&) = delete;
    database_session& operator=(const database_session&) = delete;

    /// Runs the first statement of \p sql.
    [[nodiscard]] statement_result run(std::string_view sql, const parameter_list& parameters,
                                       bool writes_allowed);

    /// True inside BEGIN ... COMMIT.
    [[nodiscard]] bool in_transaction() const;

    /// True if the open transaction has changed data.
    [[nodiscard]] bool has_uncommitted_changes() const { return !m_pending.empty(); }

    /// Ends an open transaction without its changes.
    void roll_back();

    /// Statements of transactions that ended with their changes kept, since the last call.
    [[nodiscard]] std::vector<std::string> take_committed();

private:
    void record_end_of_transaction();

    sqlite3* m_handle{nullptr};
    std::vector<std::string> m_pending;
    std::vector<std::string> m_committed;
};

} // namespace gypsumstep::standin
