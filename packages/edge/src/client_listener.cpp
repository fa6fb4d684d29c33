#include "client_listener.h"

#include "socket_options.h"

#include <QHostAddress>

#include <utility>

namespace gypsumstep::edge {
namespace {

/// Answers that a client does not read are kept up to this size, in bytes.
constexpr qint64 max_unread_bytes = 2 * static_cast<qint64>(adapter::max_message_bytes);

/// Connections that may wait to be accepted; a full queue costs a client seconds.
constexpr int backlog = 512;

/// A client behind a short cut keeps its session.
constexpr liveness client_liveness{5, 2, 4, 12'000};

} // namespace

client_listener::client_listener(client_events events, session_id first_session)
    : m_events{std::move(events)}, m_next_session{first_session.value()}
{
    m_server.setListenBacklogSize(backlog);
    connect(&m_server, &QTcpServer::newConnection, this, [this] { accept(); });
}

bool client_listener::listen(const std::string& host, std::uint16_t port)
{
    return m_server.listen(QHostAddress{QString::fromStdString(host)}, port);
}

void client_listener::accept()
{
    while (QTcpSocket* const socket = m_server.nextPendingConnection()) {
        const session_id id{m_next_session++};
        socket->setParent(this);
        set_options(*socket, client_liveness);
        // Bounds what a client can send ahead of its answers.
        socket->setReadBufferSize(static_cast<qint64>(adapter::max_message_bytes));
        auto added = std::make_unique<connection>();
        added->socket = socket;
        m_connections.emplace(id, std::move(added));
        connect(socket, &QTcpSocket::readyRead, this, [this, id] { read(id); });
        connect(socket, &QTcpSocket::disconnected, this, [this, id] {
            if (m_connections.contains(id)) {
                forget(id);
                m_events.closed(id);
            }
        });
        m_events.connected(id);
        if (socket->bytesAvailable() > 0) {
            read(id);
        }
    }
}

void client_listener::read(session_id from)
{
    auto found = m_connections.find(from);
    if (found == m_connections.end()) {
        return;
    }
    const QByteArray bytes = found->second->socket->readAll();
    found->second->splitter.feed({bytes.data(), static_cast<std::size_t>(bytes.size())});
    // A message may end the connection.
    while ((found = m_connections.find(from)) != m_connections.end()) {
        const auto line = found->second->splitter.next();
        if (line.has_value() && !line.value()) {
            return;
        }
        if (line.has_error()) {
            m_events.malformed(from, line.error().message);
            close(from);
            m_events.closed(from);
            return;
        }
        if (found->second->on_line) {
            // The handler may end the session and with it the stored function.
            const auto on_line = found->second->on_line;
            on_line(*line.value());
            continue;
        }
        if (!handle(from, *line.value())) {
            return;
        }
    }
}

bool client_listener::handle(session_id from, const std::string& line)
{
    auto message = adapter::decode_client_line(line);
    if (message.has_error()) {
        m_events.malformed(from, message.error().message);
        close(from);
        m_events.closed(from);
        return false;
    }
    if (const auto* start = std::get_if<adapter::start_message>(&message.value())) {
        m_events.started(from, *start);
        return true;
    }
    if (auto* query = std::get_if<adapter::statement_message>(&message.value())) {
        m_events.statement_received(from, std::move(query->request));
        return true;
    }
    close(from);
    m_events.closed(from);
    return false;
}

void client_listener::divert(session_id which, std::function<void(const std::string&)> on_line)
{
    if (const auto found = m_connections.find(which); found != m_connections.end()) {
        found->second->on_line = std::move(on_line);
    }
}

void client_listener::send_answer(session_id to, const statement::answer& content)
{
    write(to, adapter::encode_answer(content));
}

void client_listener::send_start_answer(session_id to, const statement::answer& content)
{
    write(to, adapter::encode_start_answer(content));
}

void client_listener::write(session_id to, const std::string& bytes)
{
    const auto found = m_connections.find(to);
    if (found == m_connections.end()) {
        return;
    }
    QTcpSocket& socket = *found->second->socket;
    socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
    socket.flush();
    if (socket.bytesToWrite() > max_unread_bytes) {
        m_events.malformed(to, "the client does not read its answers");
        socket.abort();
    }
}

void client_listener::close(session_id which)
{
    const auto found = m_connections.find(which);
    if (found == m_connections.end()) {
        return;
    }
    QTcpSocket* const socket = found->second->socket;
    forget(which);
    socket->disconnectFromHost();
}

void client_listener::forget(session_id which)
{
    const auto found = m_connections.find(which);
    QTcpSocket* const socket = found->second->socket;
    m_connections.erase(found);
    socket->disconnect(this);
    connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
    if (socket->state() == QAbstractSocket::UnconnectedState) {
        socket->deleteLater();
    }
}

} // namespace gypsumstep::edge
