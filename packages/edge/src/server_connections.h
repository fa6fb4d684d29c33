/// \file
/// Connections to backend servers.
#pragma once

#include "gypsumstep/adapter/server_codec.h"
#include "gypsumstep/proxy/actions.h"

#include <QTcpSocket>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace gypsumstep::edge {

/// Callbacks for the events of server connections. They run in the event loop's thread.
struct server_events {
    std::function<void(proxy::server_connection_id, statement::answer)> answered;
    std::function<void(proxy::server_connection_id, const statement::server_status&)>
        status_received;
    std::function<void(proxy::server_connection_id, const std::string& cause)> closed;
};

/// Opens connections to backend servers, sends commands and decodes the answers.
class server_connections : public QObject {
public:
    /// \param daemon_name name that this daemon sends to servers when a connection starts
    server_connections(std::string daemon_name, server_events events);

    /// Starts to connect. A failure is reported by `closed`.
    void open(const proxy::open_server_connection& request);
    void send(proxy::server_connection_id id, const statement::server_command& command);

    /// Closes a connection; no event follows.
    void close(proxy::server_connection_id id);

private:
    struct connection {
        QTcpSocket* socket{nullptr};
        adapter::server_decoder decoder;
        bool expects_status{false}; ///< the pending command is answered with the server's status
    };

    void read(proxy::server_connection_id id);
    void fail(proxy::server_connection_id id, const std::string& cause);
    void write(connection& target, const std::string& bytes);

    std::string m_daemon_name;
    server_events m_events;
    std::map<proxy::server_connection_id, std::unique_ptr<connection>> m_connections;
};

} // namespace gypsumstep::edge
