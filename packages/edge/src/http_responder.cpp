#include "http_responder.h"

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

/// A caller that rests longer is disconnected.
constexpr std::chrono::seconds idle_limit{30};

using request_parser = http::request_parser<http::string_body>;

/// One caller's connection.
struct exchange {
    std::unique_ptr<request_parser> request = std::make_unique<request_parser>();
    std::string unread;
    QTimer idle;
};

std::string text_of(const adapter::http_response& content, bool keep_alive)
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

void read(QTcpSocket& socket, exchange& with, const http_responder::handler& respond)
{
    with.idle.start(idle_limit);
    const QByteArray bytes = socket.readAll();
    with.unread.append(bytes.data(), static_cast<std::size_t>(bytes.size()));
    while (!with.unread.empty()) {
        boost::system::error_code problem;
        const std::size_t used = with.request->put(boost::asio::buffer(with.unread), problem);
        with.unread.erase(0, used);
        if (problem == http::error::need_more) {
            return;
        }
        if (problem) {
            socket.abort();
            return;
        }
        if (!with.request->is_done()) {
            continue;
        }
        const bool keep_alive = with.request->keep_alive();
        const std::string path{with.request->get().target()};
        const std::string text = text_of(respond(path), keep_alive);
        with.request = std::make_unique<request_parser>();
        socket.write(text.data(), static_cast<qint64>(text.size()));
        socket.flush();
        if (!keep_alive) {
            socket.disconnectFromHost();
            return;
        }
    }
}

} // namespace

http_responder::http_responder(handler respond) : m_respond{std::move(respond)}
{
    connect(&m_server, &QTcpServer::newConnection, this, [this] { accept(); });
}

bool http_responder::listen(const std::string& host, std::uint16_t port)
{
    return m_server.listen(QHostAddress{QString::fromStdString(host)}, port);
}

void http_responder::accept()
{
    while (QTcpSocket* const socket = m_server.nextPendingConnection()) {
        const auto with = std::make_shared<exchange>();
        with->idle.setSingleShot(true);
        with->idle.start(idle_limit);
        connect(&with->idle, &QTimer::timeout, socket, [socket] { socket->abort(); });
        connect(socket, &QTcpSocket::readyRead, this,
                [this, socket, with] { read(*socket, *with, m_respond); });
        connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
        if (socket->bytesAvailable() > 0) {
            read(*socket, *with, m_respond);
        }
    }
}

} // namespace gypsumstep::edge
