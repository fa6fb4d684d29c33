/// \file
/// Bounds what the connections of clients and other daemons take of the process's memory and
/// descriptors.
#pragma once

#include "gypsumstep/intake/ledger.h"
#include "gypsumstep/metrics/registry.h"

#include <QObject>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace gypsumstep::edge {

/// The port that a connection was accepted on.
enum class connection_port : std::uint8_t { clients, daemons };

/// Largest size of the input that Qt buffers for a connection, in bytes. What is not read stays in
/// the kernel, and the sender waits.
inline constexpr qint64 read_buffer_bytes = 16LL << 10;

/// Limits of the process.
struct guard_limits {
    intake::limits connections;
    std::uint32_t max_descriptors{0}; ///< for files and sockets; 0 for no limit

    friend bool operator==(const guard_limits&, const guard_limits&) = default;
};

/// Keeps the ledger of all connections, runs its time limits, closes connections as it decides,
/// and counts and logs each closing.
class connection_guard : public QObject {
public:
    /// Closes the connection at once and ends its session. May be called from any event except
    /// while that connection's owner calls the guard.
    using close_function = std::function<void(const char* cause)>;

    connection_guard(const guard_limits& limits, metrics::registry& registry);

    /// Whether the accepted \p socket may stay. If it may not, the caller closes it; the refusal
    /// is counted, and a connection that never sent its START is closed to make room.
    [[nodiscard]] bool has_room(const QTcpSocket& socket, connection_port port);

    /// Whether \p socket, which this process opened for a session of a client, may stay.
    [[nodiscard]] bool has_room_for_own(const QTcpSocket& socket);

    /// Accepts again a while after \p server failed to, which it does without descriptors.
    void watch_accept_errors(QTcpServer& server);

    /// Adds an accepted connection.
    [[nodiscard]] intake::connection_id add(close_function close);
    void remove(intake::connection_id id);

    void set_started(intake::connection_id id) { m_ledger.set_started(id); }
    void set_input(intake::connection_id id, std::size_t bytes, bool completed);
    void add_statement(intake::connection_id id, std::size_t bytes);
    void remove_statement(intake::connection_id id);
    void set_unread(intake::connection_id id, std::size_t bytes);
    void set_kept(intake::connection_id id, std::size_t bytes);
    [[nodiscard]] bool may_read(intake::connection_id id) const { return m_ledger.may_read(id); }

    /// Whether all connections together hold more than they may.
    [[nodiscard]] bool is_over() const { return m_ledger.is_over(); }

    /// Closes connections if all together hold too much. Called before more is read; what is
    /// written schedules it.
    void enforce();

    /// Counts a closing that its owner decides: a limit of a single connection.
    void count(const char* cause);

    /// Updates the gauges.
    void update_metrics();

private:
    /// Counter and log lines of one cause.
    struct closing_record {
        metrics::counter* total{nullptr};
        time_point logged_at{};
        std::uint64_t unlogged{0}; ///< since the last line
    };

    void close(intake::connection_id id, const char* cause);
    void schedule();
    void on_timer();
    [[nodiscard]] bool is_below(const QTcpSocket& socket, std::uint32_t kept) const;

    guard_limits m_limits;
    intake::ledger m_ledger;
    metrics::registry& m_registry;
    metrics::gauge& m_held;
    std::map<std::string, closing_record, std::less<>> m_closings;
    std::map<intake::connection_id, close_function> m_close;
    std::uint64_t m_next_id{1};
    QTimer m_timer;
    QTimer m_enforce_timer;
};

} // namespace gypsumstep::edge
