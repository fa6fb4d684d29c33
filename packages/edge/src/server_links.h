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

/// What servers do. Calls come from the event loop.
struct server_events {
    std::function<void(proxy::server_connection_id, statement::answer)> answered;
    std::function<void(proxy::server_connection_id, const statement::server_status&)>
        status_received;
    std::function<void(proxy::server_connection_id, const std::string& cause)> closed;
};

/// Opens connections and speaks the servers' protocol.
class server_links : public QObject {
public:
    /// \param caller how this daemon names itself to servers
    server_links(std::string caller, server_events events);

    void open(const proxy::open_server_connection& wanted);
    void send(proxy::server_connection_id to, const statement::server_command& command);

    /// Closes a connection; no event follows.
    void close(proxy::server_connection_id which);

private:
    struct connection {
        QTcpSocket* socket{nullptr};
        adapter::server_decoder decoder;
        bool wants_status{false}; ///< the pending command reports the server's status
    };

    void read(proxy::server_connection_id from);
    void fail(proxy::server_connection_id which, const std::string& cause);
    void write(connection& to, const std::string& bytes);

    std::string m_caller;
    server_events m_events;
    std::map<proxy::server_connection_id, std::unique_ptr<connection>> m_connections;
};

} // namespace gypsumstep::edge
