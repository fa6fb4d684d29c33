#include "fault_proxy.h"

#include <QHostAddress>
#include <QTimer>

#include <vector>

namespace gypsumstep::soak {

fault_proxy::fault_proxy(std::uint16_t target) : m_target{target}
{
    connect(&m_server, &QTcpServer::newConnection, this, [this] { accept(); });
}

fault_proxy::~fault_proxy()
{
    reset_all();
}

std::uint16_t fault_proxy::listen()
{
    return m_server.listen(QHostAddress::LocalHost, 0) ? m_server.serverPort() : 0;
}

void fault_proxy::set_fault(link_fault fault, std::chrono::milliseconds delay)
{
    const bool dropped_bytes =
        m_fault == link_fault::silenced || m_fault == link_fault::cut_one_way;
    m_fault = fault;
    m_delay = delay;
    if (fault == link_fault::none && dropped_bytes) {
        reset_all();
    }
}

void fault_proxy::reset_all()
{
    while (!m_connections.empty()) {
        close(m_connections.begin()->first, true);
    }
}

void fault_proxy::accept()
{
    while (QTcpSocket* const client = m_server.nextPendingConnection()) {
        if (m_fault == link_fault::resetting) {
            client->abort();
            client->deleteLater();
            continue;
        }
        const std::uint64_t id = m_next_id++;
        auto* const target = new QTcpSocket{this};
        m_connections.emplace(id, proxied_connection{client, target});
        connect(client, &QTcpSocket::readyRead, this, [this, id] { forward(id, false); });
        connect(target, &QTcpSocket::connected, this, [this, id] { forward(id, false); });
        connect(target, &QTcpSocket::readyRead, this, [this, id] { forward(id, true); });
        connect(client, &QTcpSocket::disconnected, this, [this, id] { close(id, false); });
        connect(target, &QTcpSocket::disconnected, this, [this, id] {
            forward(id, true);
            close(id, false);
        });
        connect(target, &QTcpSocket::errorOccurred, this, [this, id] {
            forward(id, true);
            close(id, true);
        });
        target->connectToHost(QHostAddress::LocalHost, m_target);
    }
}

void fault_proxy::forward(std::uint64_t id, bool to_client)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    const proxied_connection& connection = found->second;
    if (!to_client && connection.target->state() != QAbstractSocket::ConnectedState) {
        return;
    }
    const QByteArray bytes = (to_client ? connection.target : connection.client)->readAll();
    const bool dropped =
        m_fault == link_fault::silenced || (m_fault == link_fault::cut_one_way && to_client);
    if (bytes.isEmpty() || dropped) {
        return;
    }
    if (m_fault == link_fault::delayed) {
        QTimer::singleShot(m_delay, this,
                           [this, id, to_client, bytes] { deliver(id, to_client, bytes); });
        return;
    }
    deliver(id, to_client, bytes);
}

void fault_proxy::deliver(std::uint64_t id, bool to_client, const QByteArray& bytes)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    QTcpSocket* const receiver = to_client ? found->second.client : found->second.target;
    receiver->write(bytes);
    receiver->flush();
}

void fault_proxy::close(std::uint64_t id, bool reset)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    const proxied_connection closed = found->second;
    m_connections.erase(found);
    for (QTcpSocket* const socket : {closed.client, closed.target}) {
        socket->disconnect(this);
        if (reset) {
            socket->abort();
        }
        else {
            socket->disconnectFromHost();
        }
        socket->deleteLater();
    }
}

} // namespace gypsumstep::soak
