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
    std::function<void(session_id, const std::string& database)> started;
    std::function<void(session_id, statement::statement)> statement_received;
    std::function<void(session_id)> closed;
    std::function<void(session_id, const std::string& cause)> malformed;
};

/// Accepts clients and speaks their protocol.
class client_listener : public QObject {
public:
    explicit client_listener(client_events events);

    /// Starts to listen; false if the address cannot be used.
    [[nodiscard]] bool listen(const std::string& host, std::uint16_t port);

    void send_answer(session_id to, const statement::answer& content);
    void send_start_answer(session_id to, const statement::answer& content);

    /// Closes a connection once everything was written; no event follows.
    void close(session_id which);

private:
    struct connection {
        QTcpSocket* socket{nullptr};
        adapter::line_splitter splitter;
    };

    void accept();
    void read(session_id from);
    void write(session_id to, const std::string& bytes);
    void forget(session_id which);

    client_events m_events;
    QTcpServer m_server;
    std::map<session_id, std::unique_ptr<connection>> m_connections;
    std::uint64_t m_next_session{1};
};

} // namespace gypsumstep::edge
