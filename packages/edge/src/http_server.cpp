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

/// Open connections; for one more, the oldest is closed. Only the load balancer and the scraper of
/// the metrics connect, and one that is closed connects again.
constexpr std::size_t max_connections = 32;

/// Largest header and body of a request, in bytes. Probes and scrapes send some hundred bytes.
constexpr std::uint32_t max_header_bytes = 8192;
constexpr std::uint64_t max_body_bytes = 1024;

/// Largest size of the responses buffered for a client that does not read them, in bytes.
constexpr qint64 max_unread_bytes = 1 << 20;

using request_parser = http::request_parser<http::string_body>;

std::unique_ptr<request_parser> make_parser()
{
    auto parser = std::make_unique<request_parser>();
    parser->header_limit(max_header_bytes);
    parser->body_limit(max_body_bytes);
    return parser;
}

/// State of an HTTP client's connection.
struct http_connection {
    std::unique_ptr<request_parser> request = make_parser();
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
    // Not started again with each byte: a request that takes longer than this is never complete.
    if (connection.unparsed.empty()) {
        connection.idle_timer.start(idle_timeout);
    }
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
        connection.request = make_parser();
        connection.idle_timer.start(idle_timeout);
        socket.write(text.data(), static_cast<qint64>(text.size()));
        socket.flush();
        if (socket.bytesToWrite() > max_unread_bytes) {
            socket.abort();
            return;
        }
        if (!keep_alive) {
            socket.disconnectFromHost();
            return;
        }
    }
}

} // namespace

http_server::http_server(handler respond, connection_guard& guard)
    : m_respond{std::move(respond)}, m_guard{guard}
{
    m_guard.watch_accept_errors(m_server);
    connect(&m_server, &QTcpServer::newConnection, this, [this] { accept(); });
}

bool http_server::listen(const std::string& host, std::uint16_t port)
{
    return m_server.listen(QHostAddress{QString::fromStdString(host)}, port);
}

void http_server::accept()
{
    while (QTcpSocket* const socket = m_server.nextPendingConnection()) {
        if (!m_guard.has_room(*socket, connection_port::daemons)) {
            socket->abort();
            socket->deleteLater();
            continue;
        }
        socket->setReadBufferSize(read_buffer_bytes);
        const auto connection = std::make_shared<http_connection>();
        connection->idle_timer.setSingleShot(true);
        connection->idle_timer.start(idle_timeout);
        connect(&connection->idle_timer, &QTimer::timeout, socket, [socket] { socket->abort(); });
        connect(socket, &QTcpSocket::readyRead, this,
                [this, socket, connection] { read(*socket, *connection, m_respond); });
        connect(socket, &QTcpSocket::disconnected, this, [this, socket] {
            m_open.remove(socket);
            socket->deleteLater();
        });
        m_open.push_back(socket);
        if (m_open.size() > max_connections) {
            m_guard.count("http_connections");
            m_open.front()->abort();
        }
        if (socket->bytesAvailable() > 0) {
            read(*socket, *connection, m_respond);
        }
    }
}

} // namespace gypsumstep::edge
