/// \file
/// HTTP server for short requests: readiness and metrics.
#pragma once

#include "connection_guard.h"

#include "gypsumstep/adapter/store_calls.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <functional>
#include <list>
#include <string>

namespace gypsumstep::edge {

/// Serves GET requests on one address.
class http_server : public QObject {
public:
    /// Returns the response for a path.
    using handler = std::function<adapter::http_response(const std::string& path)>;

    /// \param guard bounds what the connections hold; outlives the server
    http_server(handler respond, connection_guard& guard);

    /// Starts to listen; false if the address cannot be used.
    [[nodiscard]] bool listen(const std::string& host, std::uint16_t port);

private:
    void accept();

    handler m_respond;
    connection_guard& m_guard;
    std::list<QTcpSocket*> m_open; ///< oldest first; outlives the server and its sockets
    QTcpServer m_server;
};

} // namespace gypsumstep::edge
