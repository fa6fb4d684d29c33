#include "server_connections.h"

#include "socket_options.h"

#include <QHostAddress>

#include <utility>

namespace gypsumstep::edge {
namespace {

using statement::command_kind;

/// Short enough that a server that is dead or cut off is detected before a statement's usual
/// timeout.
constexpr keepalive_settings server_keepalive{1, 1, 2, 2500};

/// Largest size of the answers that Qt buffers for a connection, in bytes: a large answer is held
/// once, by the decoder, and not twice.
constexpr qint64 server_buffer_bytes = 64LL << 10;

} // namespace

server_connections::server_connections(std::string daemon_name, server_events events)
    : m_daemon_name{std::move(daemon_name)}, m_events{std::move(events)}
{
}

void server_connections::open(const proxy::open_server_connection& request)
{
    auto opened = std::make_unique<connection>();
    auto* const socket = new QTcpSocket{this};
    socket->setReadBufferSize(server_buffer_bytes);
    opened->socket = socket;
    m_connections.emplace(request.connection, std::move(opened));
    const proxy::server_connection_id id = request.connection;
    const std::string& account = request.account.empty() ? m_daemon_name : request.account;
    const std::string start = adapter::encode_start(request.service, account, request.server);
    connect(socket, &QTcpSocket::connected, this, [this, id, start, socket] {
        set_socket_options(*socket, server_keepalive);
        if (const auto found = m_connections.find(id); found != m_connections.end()) {
            write(*found->second, start);
        }
    });
    connect(socket, &QTcpSocket::readyRead, this, [this, id] { read(id); });
    connect(socket, &QTcpSocket::errorOccurred, this, [this, id, socket] {
        // Answers that arrived before the error are delivered first.
        read(id);
        fail(id, socket->errorString().toStdString());
    });
    socket->connectToHost(QHostAddress{QString::fromStdString(request.host)}, request.port);
}

void server_connections::send(proxy::server_connection_id id,
                              const statement::server_command& command)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    found->second->expects_status = command.kind == command_kind::status ||
                                    command.kind == command_kind::pause ||
                                    command.kind == command_kind::demote;
    write(*found->second, adapter::encode_command(command));
}

void server_connections::write(connection& target, const std::string& bytes)
{
    target.socket->write(bytes.data(), static_cast<qint64>(bytes.size()));
    target.socket->flush();
}

void server_connections::read(proxy::server_connection_id id)
{
    auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    const QByteArray bytes = found->second->socket->readAll();
    found->second->decoder.feed({bytes.data(), static_cast<std::size_t>(bytes.size())});
    // Handling an answer may close the connection.
    while ((found = m_connections.find(id)) != m_connections.end()) {
        auto next = found->second->decoder.next();
        if (next.has_error()) {
            fail(id, next.error().message);
            return;
        }
        if (!next.value()) {
            return;
        }
        if (found->second->expects_status) {
            if (const auto status = adapter::decode_status(*next.value())) {
                m_events.status_received(id, *status);
                continue;
            }
        }
        m_events.answered(id, std::move(*next.value()));
    }
}

void server_connections::fail(proxy::server_connection_id id, const std::string& cause)
{
    if (!m_connections.contains(id)) {
        return;
    }
    close(id);
    m_events.closed(id, cause);
}

void server_connections::close(proxy::server_connection_id id)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    QTcpSocket* const socket = found->second->socket;
    m_connections.erase(found);
    socket->disconnect(this);
    socket->abort();
    socket->deleteLater();
}

} // namespace gypsumstep::edge
