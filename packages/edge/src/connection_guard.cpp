#include "connection_guard.h"

#include "boot_clock.h"

#include "gypsumstep/logging/logging.h"

#include <algorithm>
#include <utility>

namespace gypsumstep::edge {
namespace {

/// Interval at which time limits are checked while one runs; short against the limits.
constexpr std::chrono::milliseconds check_interval{250};

/// Descriptors that the platform reserves for files.
constexpr std::uint32_t reserved_for_files = 200;

/// Descriptors kept from clients for the process's own connections to servers, the store and other
/// daemons, and for those that other daemons open. On the smallest VM (4,300) 4,040 are left, of
/// which some 30 are in use without clients: 4,000 idle sessions have room.
constexpr std::uint32_t kept_for_daemons = 60;

/// Descriptors kept from other daemons' connections for the process's own.
constexpr std::uint32_t kept_for_own = 30;

/// Fewest descriptors for clients, whatever the settings say.
constexpr std::uint32_t min_descriptors = 16;

/// A client sends START right after it has connected. One that has not for this long makes room
/// for another when descriptors are short.
constexpr duration usual_start_time = 1s;

/// Time until connections are accepted again after an error: the process has no descriptor left,
/// and trying at once would keep the processor busy.
constexpr std::chrono::milliseconds accept_pause{100};

/// Interval between two log lines on connections closed for the same cause: a crowd may be closed
/// many times a second.
constexpr duration log_interval = 1s;

const logging::logger& log()
{
    static const logging::logger instance{"intake"};
    return instance;
}

} // namespace

connection_guard::connection_guard(const guard_limits& limits, metrics::registry& registry)
    : m_limits{limits}, m_ledger{limits.connections}, m_registry{registry},
      m_held{registry.make_gauge("gypsumstep_connection_bytes",
                                 "Bytes held for the connections of clients and daemons")}
{
    connect(&m_timer, &QTimer::timeout, this, [this] { on_timer(); });
    m_enforce_timer.setSingleShot(true);
    connect(&m_enforce_timer, &QTimer::timeout, this, [this] { enforce(); });
}

bool connection_guard::is_below(const QTcpSocket& socket, std::uint32_t kept) const
{
    if (m_limits.max_descriptors == 0) {
        return true;
    }
    const std::uint32_t unusable = reserved_for_files + kept;
    const std::uint32_t usable =
        m_limits.max_descriptors > unusable ? m_limits.max_descriptors - unusable : 0;
    // The kernel assigns the lowest free number, so that a high one tells that many are open.
    return socket.socketDescriptor() < static_cast<qintptr>(std::max(usable, min_descriptors));
}

bool connection_guard::has_room(const QTcpSocket& socket, connection_port port)
{
    if (is_below(socket, port == connection_port::clients ? kept_for_daemons : kept_for_own)) {
        return true;
    }
    count("descriptors");
    if (const auto oldest = m_ledger.oldest_unstarted(boot_now(), usual_start_time)) {
        close(*oldest, "start_makes_room");
    }
    return false;
}

bool connection_guard::has_room_for_own(const QTcpSocket& socket)
{
    if (is_below(socket, kept_for_own)) {
        return true;
    }
    count("descriptors");
    return false;
}

void connection_guard::watch_accept_errors(QTcpServer& server)
{
    connect(&server, &QTcpServer::acceptError, this, [this, &server] {
        count("descriptors");
        // Qt stops accepting after an error.
        QTimer::singleShot(accept_pause, &server, [&server] { server.resumeAccepting(); });
    });
}

intake::connection_id connection_guard::add(close_function close)
{
    const intake::connection_id id{m_next_id++};
    m_ledger.add(id, boot_now());
    m_close.emplace(id, std::move(close));
    schedule();
    return id;
}

void connection_guard::remove(intake::connection_id id)
{
    m_ledger.remove(id);
    m_close.erase(id);
}

void connection_guard::set_input(intake::connection_id id, std::size_t bytes, bool completed)
{
    m_ledger.set_input(id, bytes, completed, boot_now());
    schedule();
}

void connection_guard::add_statement(intake::connection_id id, std::size_t bytes)
{
    m_ledger.add_statement(id, bytes);
    schedule();
}

void connection_guard::remove_statement(intake::connection_id id)
{
    m_ledger.remove_statement(id, boot_now());
}

void connection_guard::set_unread(intake::connection_id id, std::size_t bytes)
{
    m_ledger.set_unread(id, bytes, boot_now());
    schedule();
}

void connection_guard::set_kept(intake::connection_id id, std::size_t bytes)
{
    m_ledger.set_kept(id, bytes);
    schedule();
}

void connection_guard::schedule()
{
    if (m_ledger.is_watching() && !m_timer.isActive()) {
        m_timer.start(check_interval);
    }
    if (m_ledger.is_over() && !m_enforce_timer.isActive()) {
        m_enforce_timer.start(0);
    }
}

void connection_guard::enforce()
{
    if (!m_ledger.is_over()) {
        return;
    }
    for (const intake::verdict& next : m_ledger.over_bound()) {
        close(next.connection, intake::to_string(next.cause));
    }
}

void connection_guard::on_timer()
{
    if (!m_ledger.is_watching()) {
        m_timer.stop();
        return;
    }
    for (const intake::verdict& next : m_ledger.overdue(boot_now())) {
        close(next.connection, intake::to_string(next.cause));
    }
}

void connection_guard::close(intake::connection_id id, const char* cause)
{
    const auto found = m_close.find(id);
    if (found == m_close.end()) {
        return;
    }
    count(cause);
    // Moved out, since the function removes the connection.
    const close_function close_connection = std::move(found->second);
    remove(id);
    close_connection(cause);
}

void connection_guard::count(const char* cause)
{
    closing_record& record = m_closings[cause];
    const time_point now = boot_now();
    const bool is_first = record.total == nullptr;
    if (is_first) {
        record.total = &m_registry.make_counter(
            "gypsumstep_connections_closed_total",
            "Connections refused or closed to protect the process", {{"cause", cause}});
    }
    record.total->add();
    if (!is_first && now - record.logged_at < log_interval) {
        ++record.unlogged;
        return;
    }
    record.logged_at = now;
    log().warn("closed or refused a connection to protect the process",
               {{"cause", cause},
                {"others_since_last_line", std::exchange(record.unlogged, 0)},
                {"held_bytes", static_cast<std::uint64_t>(m_ledger.held_bytes())},
                {"max_bytes", static_cast<std::uint64_t>(m_limits.connections.max_bytes)},
                {"connections", static_cast<std::uint64_t>(m_ledger.connection_count())}});
}

void connection_guard::update_metrics()
{
    m_held.set(static_cast<double>(m_ledger.held_bytes()));
}

} // namespace gypsumstep::edge
