/// \file
/// A non-blocking libpq connection to one backend server, driven by Qt's event loop.
#pragma once

#include "gypsumstep/backend/work.h"

#include <QObject>
#include <QSocketNotifier>

#include <functional>
#include <memory>
#include <string>

struct pg_conn;
struct pg_result;

namespace gypsumstep::backend {

/// State of a connection.
enum class connection_state {
    connecting,
    idle,
    busy,
    closed,
};

/// Address, database and user of a connection.
struct connection_target {
    std::string address; ///< numeric IPv4 or IPv6 address
    std::uint16_t port{0};
    std::string database;
    std::string user;

    friend bool operator==(const connection_target&, const connection_target&) = default;
};

/// One connection, which runs one statement at a time.
///
/// Belongs to the thread that created it and needs that thread's event loop.
class connection : public QObject {
public:
    using answer_handler = std::function<void(work_answer)>;
    using event_handler = std::function<void()>;

    /// Starts to connect; returns before the connection is established.
    /// \param on_ready called when the connection is idle for the first time
    /// \param on_closed called once when the connection fails or the server closes it
    connection(const connection_target& target, event_handler on_ready, event_handler on_closed);
    ~connection() override;
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    [[nodiscard]] connection_state state() const { return m_state; }

    /// Runs \p item; the connection must be idle.
    /// \param on_answer called once, also if the connection is lost; not after close()
    void run(const work& item, answer_handler on_answer);

    /// Asks the server to cancel the running statement. Does nothing if none is running.
    ///
    /// Does not wait for the statement to end.
    void cancel();

    /// Closes the connection immediately, without calling on_closed.
    void close();

    /// Newest value that the server reported for a parameter; empty if it reported none.
    [[nodiscard]] std::string parameter(const char* name) const;

    /// Sets a handler that is called when the server sends data while no statement runs,
    /// for example new parameter values.
    void on_idle_input(event_handler handler) { m_on_idle_input = std::move(handler); }

private:
    struct handle_deleter {
        void operator()(pg_conn* handle) const;
    };

    void poll_connect();
    void enable_notifiers(bool read, bool write);
    void on_readable();
    void flush();
    void collect_results();
    void append_result(const pg_result* query_result);
    void finish_work();
    void fail();
    bool send(const work& item);

    std::unique_ptr<pg_conn, handle_deleter> m_handle;
    std::unique_ptr<QSocketNotifier> m_read_notifier;
    std::unique_ptr<QSocketNotifier> m_write_notifier;
    event_handler m_on_ready;
    event_handler m_on_closed;
    event_handler m_on_idle_input;
    answer_handler m_on_answer;
    work_answer m_answer;
    bool m_with_description{true};
    work_kind m_work_kind{work_kind::simple};
    bool m_prepare_finished{false};
    connection_state m_state{connection_state::connecting};
};

} // namespace gypsumstep::backend
