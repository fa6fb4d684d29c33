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

/// Where a connection stands.
enum class connection_state {
    connecting,
    idle,
    busy,
    closed,
};

/// Where and how to connect.
struct connection_target {
    std::string address; ///< IP number
    std::uint16_t port{0};
    std::string database;
    std::string user;

    friend bool operator==(const connection_target&, const connection_target&) = default;
};

/// One connection that runs one statement at a time.
class connection : public QObject {
public:
    using answer_handler = std::function<void(work_answer)>;
    using event_handler = std::function<void()>;

    /// Starts connecting at once.
    /// \param on_ready called when the connection is idle for the first time
    /// \param on_closed called once when it ends for whatever reason
    connection(const connection_target& target, event_handler on_ready, event_handler on_closed);
    ~connection() override;
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    [[nodiscard]] connection_state state() const { return m_state; }

    /// Runs \p item; the connection must be idle.
    void run(const work& item, answer_handler on_answer);

    /// Asks the server to cancel the running statement, without waiting.
    void cancel();

    /// Closes at once; on_closed is not called.
    void close();

    /// Newest value of a parameter that the server reported; empty if none.
    [[nodiscard]] std::string parameter(const char* name) const;

    /// Called after bytes arrived while idle, e.g. for reported parameters.
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
