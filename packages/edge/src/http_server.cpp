#include "http_server.h"

#include <QHostAddress>
#include <QTcpSocket>
#include <QTimer>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>

#include <memory>
#include <sstream>
#include <utility>

namespace gypsumstep::edge {
namespace {

namespace http = boost::beast::http;

/// A connection that is idle for longer is closed.
constexpr std::chrono::seconds idle_timeout{30};

using request_parser = http::request_parser<http::string_body>;

/// State of an HTTP client's connection.
struct http_connection {
    std::unique_ptr<request_parser> request = std::make_unique<request_parser>();
    std::string unparsed;
    QTimer idle_timer;
};

std::string serialize(const adapter::http_response& content, bool keep_alive)
{
    http::response<http::string_body> message{static_cast<http::status>(content.status), 11};
    message.set(http::field::content_type, "text/plain; version=0.0.4");
    message.body() = content.body;
    message.keep_alive(keep_alive);
    message.prepare_payload();
    std::ostringstream text;
    text << message;
    return text.str();
}

void read(QTcpSocket& socket, http_connection& connection, const http_server::handler& respond)
{
    connection.idle_timer.start(idle_timeout);
    const QByteArray bytes = socket.readAll();
    connection.unparsed.append(bytes.data(), static_cast<std::size_t>(bytes.size()));
    while (!connection.unparsed.empty()) {
        boost::system::error_code problem;
        const std::size_t consumed =
            connection.request->put(boost::asio::buffer(connection.unparsed), problem);
        connection.unparsed.erase(0, consumed);
        if (problem == http::error::need_more) {
            return;
        }
        if (problem) {
            socket.abort();
            return;
        }
        if (!connection.request->is_done()) {
            continue;
        }
        const bool keep_alive = connection.request->keep_alive();
        const std::string path{connection.request->get().target()};
        const std::string text = serialize(respond(path), keep_alive);
        connection.request = std::make_unique<request_parser>();
        socket.write(text.data(), static_cast<qint64>(text.size()));
        socket.flush();
        if (!keep_alive) {
            socket.disconnectFromHost();
            return;
        }
    }
}

} // namespace

http_server::http_server(handler respond) : m_respond{std::move(respond)}
{
    connect(&m_server, &QTcpServer::newConnection, this, [this] { accept(); });
}

bool http_server::listen(const std::string& host, std::uint16_t port)
{
    return m_server.listen(QHostAddress{QString::fromStdString(host)}, port);
}

void http_server::accept()
{
    while (QTcpSocket* const socket = m_server.nextPendingConnection()) {
        const auto connection = std::make_shared<http_connection>();
        connection->idle_timer.setSingleShot(true);
        connection->idle_timer.start(idle_timeout);
        connect(&connection->idle_timer, &QTimer::timeout, socket, [socket] { socket->abort(); });
        connect(socket, &QTcpSocket::readyRead, this,
                [this, socket, connection] { read(*socket, *connection, m_respond); });
        connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
        if (socket->bytesAvailable() > 0) {
            read(*socket, *connection, m_respond);
        }
    }
}

} // namespace gypsumstep::edge
