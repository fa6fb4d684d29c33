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

void fault_proxy::set_trouble(link_trouble trouble, std::chrono::milliseconds delay)
{
    const bool lost_bytes =
        m_trouble == link_trouble::silenced || m_trouble == link_trouble::cut_one_way;
    m_trouble = trouble;
    m_delay = delay;
    if (trouble == link_trouble::none && lost_bytes) {
        reset_all();
    }
}

void fault_proxy::reset_all()
{
    while (!m_pairs.empty()) {
        close(m_pairs.begin()->first, true);
    }
}

void fault_proxy::accept()
{
    while (QTcpSocket* const caller = m_server.nextPendingConnection()) {
        if (m_trouble == link_trouble::refusing_resets) {
            caller->abort();
            caller->deleteLater();
            continue;
        }
        const std::uint64_t id = m_next++;
        auto* const target = new QTcpSocket{this};
        m_pairs.emplace(id, pair{caller, target});
        connect(caller, &QTcpSocket::readyRead, this, [this, id] { pass(id, false); });
        connect(target, &QTcpSocket::connected, this, [this, id] { pass(id, false); });
        connect(target, &QTcpSocket::readyRead, this, [this, id] { pass(id, true); });
        connect(caller, &QTcpSocket::disconnected, this, [this, id] { close(id, false); });
        connect(target, &QTcpSocket::disconnected, this, [this, id] {
            pass(id, true);
            close(id, false);
        });
        connect(target, &QTcpSocket::errorOccurred, this, [this, id] {
            pass(id, true);
            close(id, true);
        });
        target->connectToHost(QHostAddress::LocalHost, m_target);
    }
}

void fault_proxy::pass(std::uint64_t id, bool to_caller)
{
    const auto found = m_pairs.find(id);
    if (found == m_pairs.end()) {
        return;
    }
    const pair& between = found->second;
    if (!to_caller && between.target->state() != QAbstractSocket::ConnectedState) {
        return;
    }
    const QByteArray bytes = (to_caller ? between.target : between.caller)->readAll();
    const bool swallowed = m_trouble == link_trouble::silenced ||
                           (m_trouble == link_trouble::cut_one_way && to_caller);
    if (bytes.isEmpty() || swallowed) {
        return;
    }
    if (m_trouble == link_trouble::delayed) {
        QTimer::singleShot(m_delay, this,
                           [this, id, to_caller, bytes] { deliver(id, to_caller, bytes); });
        return;
    }
    deliver(id, to_caller, bytes);
}

void fault_proxy::deliver(std::uint64_t id, bool to_caller, const QByteArray& bytes)
{
    const auto found = m_pairs.find(id);
    if (found == m_pairs.end()) {
        return;
    }
    QTcpSocket* const to = to_caller ? found->second.caller : found->second.target;
    to->write(bytes);
    to->flush();
}

void fault_proxy::close(std::uint64_t id, bool reset)
{
    const auto found = m_pairs.find(id);
    if (found == m_pairs.end()) {
        return;
    }
    const pair ended = found->second;
    m_pairs.erase(found);
    for (QTcpSocket* const each : {ended.caller, ended.target}) {
        each->disconnect(this);
        if (reset) {
            each->abort();
        }
        else {
            each->disconnectFromHost();
        }
        each->deleteLater();
    }
}

} // namespace gypsumstep::soak
