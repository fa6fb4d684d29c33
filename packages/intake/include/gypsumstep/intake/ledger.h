/// \file
/// What the connections of a process hold in its memory, and which of them to stop reading from or
/// to close so that all together stay within a bound.
#pragma once

#include "gypsumstep/base/strong_value.h"
#include "gypsumstep/base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace gypsumstep::intake {

/// A connection of the process, on any of its ports.
using connection_id = strong_value<struct intake_connection_tag, std::uint64_t>;

/// Bounds for the connections of a process.
struct limits {
    /// Bytes that all connections together may hold.
    std::size_t max_bytes{32UL << 20};

    /// Statements that a client may have sent without an answer, the running one included.
    std::size_t statements_ahead{16};

    /// Bytes of unanswered statements after which nothing more is read from a connection: a
    /// single message of the largest size is read, a second one only after its answer.
    std::size_t ahead_bytes{256UL << 10};

    /// Bytes of unread answers after which nothing more is read from a connection.
    std::size_t unread_bytes{256UL << 10};

    /// Time from the connection to the complete message that starts the session.
    duration start_timeout{10s};

    /// Time from a message's first byte to its last. 1 MiB takes 84 s at 100 kbit/s.
    duration message_timeout{120s};

    /// Time in which a client with unread answers has to accept some of their bytes.
    duration unread_timeout{30s};

    friend bool operator==(const limits&, const limits&) = default;
};

/// Why a connection is closed.
enum class closing : std::uint8_t {
    start_overdue,   ///< the message that starts the session was not complete in time
    message_overdue, ///< a later message was not complete in time
    answers_unread,  ///< the client has accepted nothing of its answers for too long
    memory,          ///< all connections together held too much
};

/// Number of the causes.
inline constexpr std::size_t closing_count = 4;

/// Returns the name of a cause, for logs and metrics.
[[nodiscard]] const char* to_string(closing cause);

/// A connection to close.
struct verdict {
    connection_id connection;
    closing cause{closing::memory};

    friend bool operator==(const verdict&, const verdict&) = default;
};

/// Counts the bytes that each connection holds and decides on them. Not thread-safe.
class ledger {
public:
    explicit ledger(const limits& chosen) : m_limits{chosen} {}

    /// Adds a connection whose session is not started yet.
    void add(connection_id id, time_point now);
    void remove(connection_id id);

    /// The message that starts the session was complete.
    void set_started(connection_id id);

    /// Sets the size of the input that is received but not handled yet.
    /// \param completed whether a message became complete since the last call
    void set_input(connection_id id, std::size_t bytes, bool completed, time_point now);

    /// A statement of \p bytes was passed on; it is held until its answer.
    void add_statement(connection_id id, std::size_t bytes);

    /// The oldest unanswered statement was answered. The time of a message that arrived behind it
    /// starts again.
    void remove_statement(connection_id id, time_point now);

    /// Sets the size of the answers that the client has not accepted yet.
    void set_unread(connection_id id, std::size_t bytes, time_point now);

    /// Sets the size of what a session keeps between its statements, such as prepared statements.
    void set_kept(connection_id id, std::size_t bytes);

    /// Returns whether to read from a connection. While all connections hold more than half of
    /// the bound, a client is not read from until its statement is answered.
    [[nodiscard]] bool may_read(connection_id id) const;

    /// Returns whether all connections together hold more than they may.
    [[nodiscard]] bool is_over() const { return m_held > m_limits.max_bytes; }

    /// Returns the connections to close so that the others are within the bound; empty unless
    /// is_over(). First those with unfinished input, newest message first; then those with unread
    /// answers or kept state, largest first; last those with a statement in progress, largest
    /// first.
    [[nodiscard]] std::vector<verdict> over_bound() const;

    /// Returns the connections whose time limits have passed.
    [[nodiscard]] std::vector<verdict> overdue(time_point now) const;

    /// Returns the connection that has waited longest for its session's start, if that is at least
    /// \p age.
    [[nodiscard]] std::optional<connection_id> oldest_unstarted(time_point now, duration age) const;

    /// Returns whether a time limit runs, so that overdue() has to be called.
    [[nodiscard]] bool is_watching() const { return !m_watched.empty(); }

    [[nodiscard]] std::size_t held_bytes() const { return m_held; }
    [[nodiscard]] std::size_t connection_count() const { return m_connections.size(); }

private:
    struct connection {
        std::size_t input{0};
        std::size_t statements{0};       ///< bytes
        std::vector<std::size_t> queued; ///< sizes of the unanswered statements, oldest first
        std::size_t unread{0};
        std::size_t kept{0};
        bool started{false};
        time_point opened_at{};
        time_point message_since{}; ///< first byte of the unfinished message
        time_point unread_since{};  ///< when the client last accepted bytes of its answers

        [[nodiscard]] std::size_t held() const { return input + statements + unread + kept; }
        [[nodiscard]] bool is_busy() const { return !queued.empty(); }
    };

    [[nodiscard]] bool may_read(const connection& member) const;
    [[nodiscard]] std::optional<closing> overdue_cause(const connection& member,
                                                       time_point now) const;
    /// Adds to, or removes from, the connections with a time limit.
    void watch(connection_id id, const connection& member);

    limits m_limits;
    std::map<connection_id, connection> m_connections;
    std::set<connection_id> m_watched;
    std::size_t m_held{0};
};

} // namespace gypsumstep::intake
