#include "client_listener.h"

#include "socket_options.h"

#include <QHostAddress>

#include <utility>

namespace gypsumstep::edge {
namespace {

/// Largest size of the answers buffered for a client that does not read them, in bytes. A
/// client that exceeds it is disconnected.
constexpr qint64 max_unread_bytes = 2 * static_cast<qint64>(adapter::max_message_bytes);

/// Connections that may wait to be accepted. If the queue is full, a client's attempt to
/// connect takes seconds.
constexpr int backlog = 512;

/// Long enough that a client keeps its session during a short network outage.
constexpr keepalive_settings client_keepalive{5, 2, 4, 12'000};

} // namespace

client_listener::client_listener(client_events events, session_id first_session,
                                 adapter::line_sender sender)
    : m_events{std::move(events)}, m_next_session{first_session.value()}, m_sender{sender}
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
        set_socket_options(*socket, client_keepalive);
        // Limits how much a client can send before it reads its answers.
        socket->setReadBufferSize(static_cast<qint64>(adapter::max_message_bytes));
        auto accepted = std::make_unique<connection>();
        accepted->socket = socket;
        m_connections.emplace(id, std::move(accepted));
        connect(socket, &QTcpSocket::readyRead, this, [this, id] { read(id); });
        connect(socket, &QTcpSocket::disconnected, this, [this, id] {
            if (m_connections.contains(id)) {
                remove_connection(id);
                m_events.closed(id);
            }
        });
        m_events.connected(id);
        if (socket->bytesAvailable() > 0) {
            read(id);
        }
    }
}

void client_listener::read(session_id id)
{
    auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    const QByteArray bytes = found->second->socket->readAll();
    found->second->splitter.feed({bytes.data(), static_cast<std::size_t>(bytes.size())});
    // Handling a message may close the connection.
    while ((found = m_connections.find(id)) != m_connections.end()) {
        const auto line = found->second->splitter.next();
        if (line.has_value() && !line.value()) {
            return;
        }
        if (line.has_error()) {
            m_events.malformed(id, line.error().message);
            close(id);
            m_events.closed(id);
            return;
        }
        if (found->second->on_line) {
            // Copied, since the handler may end the session, which destroys the stored function.
            const auto on_line = found->second->on_line;
            on_line(*line.value());
            continue;
        }
        if (!handle_message(id, *line.value())) {
            return;
        }
    }
}

bool client_listener::handle_message(session_id id, const std::string& line)
{
    auto message = adapter::decode_client_line(line, m_sender);
    if (message.has_error()) {
        m_events.malformed(id, message.error().message);
        close(id);
        m_events.closed(id);
        return false;
    }
    if (const auto* start = std::get_if<adapter::start_message>(&message.value())) {
        m_events.started(id, *start);
        return true;
    }
    if (auto* query = std::get_if<adapter::statement_message>(&message.value())) {
        m_events.statement_received(id, std::move(query->request));
        return true;
    }
    close(id);
    m_events.closed(id);
    return false;
}

void client_listener::set_line_handler(session_id id,
                                       std::function<void(const std::string&)> on_line)
{
    if (const auto found = m_connections.find(id); found != m_connections.end()) {
        found->second->on_line = std::move(on_line);
    }
}

void client_listener::send_answer(session_id id, const statement::answer& answer)
{
    write(id, adapter::encode_answer(answer));
}

void client_listener::send_start_answer(session_id id, const statement::answer& answer)
{
    write(id, adapter::encode_start_answer(answer));
}

void client_listener::write(session_id id, const std::string& bytes)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    QTcpSocket& socket = *found->second->socket;
    socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
    socket.flush();
    if (socket.bytesToWrite() > max_unread_bytes) {
        m_events.malformed(id, "the client does not read its answers");
        socket.abort();
    }
}

void client_listener::close(session_id id)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    QTcpSocket* const socket = found->second->socket;
    remove_connection(id);
    socket->disconnectFromHost();
}

void client_listener::remove_connection(session_id id)
{
    const auto found = m_connections.find(id);
    QTcpSocket* const socket = found->second->socket;
    m_connections.erase(found);
    socket->disconnect(this);
    connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
    if (socket->state() == QAbstractSocket::UnconnectedState) {
        socket->deleteLater();
    }
}

} // namespace gypsumstep::edge
