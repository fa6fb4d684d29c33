/// \file
/// Clients' connections.
#pragma once

#include "gypsumstep/adapter/client_codec.h"
#include "gypsumstep/base/ids.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace gypsumstep::edge {

/// What clients do. Calls come from the event loop.
struct client_events {
    std::function<void(session_id)> connected;
    std::function<void(session_id, const adapter::start_message&)> started;
    std::function<void(session_id, statement::statement)> statement_received;
    std::function<void(session_id)> closed;
    std::function<void(session_id, const std::string& cause)> malformed;
};

/// Accepts clients and speaks their protocol.
class client_listener : public QObject {
public:
    /// \param first_session lowest id of this listener's sessions
    client_listener(client_events events, session_id first_session);

    /// Starts to listen; false if the address cannot be used.
    [[nodiscard]] bool listen(const std::string& host, std::uint16_t port);

    void send_answer(session_id to, const statement::answer& content);
    void send_start_answer(session_id to, const statement::answer& content);

    /// Passes on complete lines.
    void write(session_id to, const std::string& bytes);

    /// From now on the session's lines go to \p on_line instead of the events.
    void divert(session_id which, std::function<void(const std::string&)> on_line);

    /// Closes a connection once everything was written; no event follows.
    void close(session_id which);

    /// Takes no further connections.
    void stop_listening() { m_server.close(); }

private:
    struct connection {
        QTcpSocket* socket{nullptr};
        adapter::line_splitter splitter;
        std::function<void(const std::string&)> on_line; ///< of a diverted session
    };

    void accept();
    void read(session_id from);
    bool handle(session_id from, const std::string& line);
    void forget(session_id which);

    client_events m_events;
    QTcpServer m_server;
    std::map<session_id, std::unique_ptr<connection>> m_connections;
    std::uint64_t m_next_session;
};

} // namespace gypsumstep::edge
