#include "late_calls.h"

#include <QHostAddress>
#include <QPointer>
#include <QTimer>

#include <utility>

namespace review {

late_calls::late_calls(std::uint16_t target,
                       std::function<std::optional<std::chrono::milliseconds>()> delay,
                       std::function<void(const std::string&)> note)
    : m_target{target}, m_delay{std::move(delay)}, m_note{std::move(note)}
{
    connect(&m_server, &QTcpServer::newConnection, this, [this] {
        while (QTcpSocket* const caller = m_server.nextPendingConnection()) {
            m_received.emplace(caller, QByteArray{});
            connect(caller, &QTcpSocket::readyRead, this, [this, caller] { read(caller); });
            connect(caller, &QTcpSocket::disconnected, this, [this, caller] {
                m_received.erase(caller);
                caller->deleteLater();
            });
        }
    });
}

std::uint16_t late_calls::listen()
{
    return m_server.listen(QHostAddress::LocalHost, 0) ? m_server.serverPort() : 0;
}

void late_calls::read(QTcpSocket* caller)
{
    QByteArray& received = m_received[caller];
    received += caller->readAll();
    const qsizetype end = received.indexOf("\r\n\r\n");
    if (end < 0) {
        return;
    }
    const qsizetype field = received.toLower().indexOf("content-length:");
    const qsizetype length =
        field < 0 || field > end
            ? 0
            : received.mid(field + 15, received.indexOf("\r\n", field) - field - 15)
                  .trimmed()
                  .toLongLong();
    if (received.size() < end + 4 + length) {
        return;
    }
    const QByteArray request = std::exchange(received, QByteArray{});
    if (const auto delay = m_delay()) {
        m_note("the call " + request.mid(end + 4).toStdString() +
               " gets no answer and is carried out " + std::to_string(delay->count()) +
               " ms later");
        QTimer::singleShot(*delay, this, [this, request] { carry_out(request, nullptr); });
        return;
    }
    carry_out(request, caller);
}

void late_calls::carry_out(const QByteArray& request, QTcpSocket* caller)
{
    auto* const target = new QTcpSocket{this};
    const QPointer<QTcpSocket> waiting{caller};
    const bool is_late = caller == nullptr;
    connect(target, &QTcpSocket::connected, this, [target, request] { target->write(request); });
    connect(target, &QTcpSocket::readyRead, this, [this, target, waiting, is_late] {
        const QByteArray answer = target->readAll();
        if (is_late) {
            m_note("the late call was carried out: " + answer.left(12).toStdString());
        }
        else if (waiting) {
            waiting->write(answer);
            waiting->flush();
        }
        target->deleteLater();
    });
    target->connectToHost(QHostAddress::LocalHost, m_target);
}

} // namespace review
