#include "server_links.h"

#include "socket_options.h"

#include <QHostAddress>

#include <utility>

namespace gypsumstep::edge {
namespace {

using statement::command_kind;

/// A server that is dead or cut off is noticed before a statement's usual time-out.
constexpr liveness server_liveness{1, 1, 2, 2500};

} // namespace

server_links::server_links(std::string caller, server_events events)
    : m_caller{std::move(caller)}, m_events{std::move(events)}
{
}

void server_links::open(const proxy::open_server_connection& wanted)
{
    auto added = std::make_unique<connection>();
    auto* const socket = new QTcpSocket{this};
    added->socket = socket;
    m_connections.emplace(wanted.connection, std::move(added));
    const proxy::server_connection_id id = wanted.connection;
    const std::string start = adapter::encode_start(wanted.service, m_caller, wanted.server);
    connect(socket, &QTcpSocket::connected, this, [this, id, start, socket] {
        set_options(*socket, server_liveness);
        if (const auto found = m_connections.find(id); found != m_connections.end()) {
            write(*found->second, start);
        }
    });
    connect(socket, &QTcpSocket::readyRead, this, [this, id] { read(id); });
    connect(socket, &QTcpSocket::errorOccurred, this, [this, id, socket] {
        // Bytes before the end of the stream are read first.
        read(id);
        fail(id, socket->errorString().toStdString());
    });
    socket->connectToHost(QHostAddress{QString::fromStdString(wanted.host)}, wanted.port);
}

void server_links::send(proxy::server_connection_id to, const statement::server_command& command)
{
    const auto found = m_connections.find(to);
    if (found == m_connections.end()) {
        return;
    }
    found->second->wants_status = command.kind == command_kind::status ||
                                  command.kind == command_kind::pause ||
                                  command.kind == command_kind::demote;
    write(*found->second, adapter::encode_command(command));
}

void server_links::write(connection& to, const std::string& bytes)
{
    to.socket->write(bytes.data(), static_cast<qint64>(bytes.size()));
    to.socket->flush();
}

void server_links::read(proxy::server_connection_id from)
{
    auto found = m_connections.find(from);
    if (found == m_connections.end()) {
        return;
    }
    const QByteArray bytes = found->second->socket->readAll();
    found->second->decoder.feed({bytes.data(), static_cast<std::size_t>(bytes.size())});
    // An answer may close the connection.
    while ((found = m_connections.find(from)) != m_connections.end()) {
        auto next = found->second->decoder.next();
        if (next.has_error()) {
            fail(from, next.error().message);
            return;
        }
        if (!next.value()) {
            return;
        }
        if (found->second->wants_status) {
            if (const auto status = adapter::decode_status(*next.value())) {
                m_events.status_received(from, *status);
                continue;
            }
        }
        m_events.answered(from, std::move(*next.value()));
    }
}

void server_links::fail(proxy::server_connection_id which, const std::string& cause)
{
    if (!m_connections.contains(which)) {
        return;
    }
    close(which);
    m_events.closed(which, cause);
}

void server_links::close(proxy::server_connection_id which)
{
    const auto found = m_connections.find(which);
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
