#include "replication.h"

#include <QHostAddress>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace gypsumstep::standin {
namespace {

using nlohmann::json;

constexpr auto heartbeat_interval = std::chrono::milliseconds{50};
constexpr auto reconnect_interval = std::chrono::milliseconds{100};
constexpr std::size_t max_entries_per_answer = 200;

QByteArray to_line(const json& message)
{
    return QByteArray::fromStdString(message.dump()) + '\n';
}

json to_json(const std::vector<log_entry>& entries)
{
    json list = json::array();
    for (const log_entry& entry : entries) {
        list.push_back({{"term", entry.entry_term.value()}, {"statements", entry.statements}});
    }
    return list;
}

std::vector<log_entry> entries_from(const json& list)
{
    std::vector<log_entry> entries;
    for (const json& each : list) {
        entries.push_back({term{each.at("term").get<std::uint64_t>()},
                           each.at("statements").get<std::vector<std::string>>()});
    }
    return entries;
}

} // namespace

replication_feed::replication_feed(replica& server) : m_replica{server}
{
    connect(&m_server, &QTcpServer::newConnection, this, &replication_feed::accept);
    connect(&m_replica, &replica::log_grew, this, [this] { answer_waiting(false); });
    connect(&m_heartbeat, &QTimer::timeout, this, [this] { answer_waiting(true); });
    m_heartbeat.start(heartbeat_interval);
}

bool replication_feed::listen(const QString& address, quint16 port)
{
    return m_server.listen(QHostAddress{address}, port);
}

void replication_feed::accept()
{
    while (QTcpSocket* socket = m_server.nextPendingConnection()) {
        socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        connect(socket, &QTcpSocket::readyRead, this, [this, socket] { read(socket); });
        connect(socket, &QTcpSocket::disconnected, this, [this, socket] {
            std::erase_if(m_waiting, [socket](const auto& each) { return each.socket == socket; });
            socket->deleteLater();
        });
    }
}

void replication_feed::read(QTcpSocket* socket)
{
    while (socket->canReadLine()) {
        answer(socket, socket->readLine().toStdString());
    }
}

void replication_feed::answer(QTcpSocket* socket, const std::string& line)
{
    const json request = json::parse(line, nullptr, false);
    const bool same_term = request.is_object() && m_replica.is_primary() &&
                           request.value("term", 0ULL) == m_replica.current_term().value();
    if (!same_term) {
        socket->disconnectFromHost();
        return;
    }
    const auto position =
        parse_position(request.value("last", std::string{})).value_or(log_position{});
    if (!m_replica.log().contains(position)) {
        socket->write(to_line({{"back_to", position.index - 1}}));
        return;
    }
    m_replica.replica_holds(request.value("server", std::string{}), position);
    if (position.index < m_replica.last().index) {
        send_entries(socket, position.index);
        return;
    }
    m_waiting.push_back({socket, position.index});
}

void replication_feed::send_entries(QTcpSocket* socket, std::uint64_t index)
{
    socket->write(
        to_line({{"term", m_replica.current_term().value()},
                 {"previous", to_string(m_replica.log().position_at(index))},
                 {"entries", to_json(m_replica.log().after(index, max_entries_per_answer))},
                 {"primary_last", to_string(m_replica.last())}}));
}

void replication_feed::answer_waiting(bool all)
{
    const auto waiting = std::exchange(m_waiting, {});
    for (const waiting_pull& pull : waiting) {
        if (!m_replica.is_primary()) {
            pull.socket->disconnectFromHost();
        }
        else if (all || pull.index < m_replica.last().index) {
            send_entries(pull.socket, pull.index);
        }
        else {
            m_waiting.push_back(pull);
        }
    }
}

replication_puller::replication_puller(replica& server) : m_replica{server}
{
    m_reconnect.setSingleShot(true);
    connect(&m_reconnect, &QTimer::timeout, this, &replication_puller::connect_again);
    connect(&m_socket, &QTcpSocket::connected, this, [this] {
        m_socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
        pull(m_replica.last());
    });
    connect(&m_socket, &QTcpSocket::readyRead, this, &replication_puller::read);
    const auto retry = [this] { m_reconnect.start(reconnect_interval); };
    connect(&m_socket, &QTcpSocket::disconnected, this, retry);
    connect(&m_socket, &QTcpSocket::errorOccurred, this, retry);
}

void replication_puller::start(const QString& address, quint16 port)
{
    m_address = address;
    m_port = port;
    m_socket.abort();
    connect_again();
}

void replication_puller::stop()
{
    m_port = 0;
    m_socket.abort();
}

void replication_puller::connect_again()
{
    if (m_port != 0 && m_socket.state() == QAbstractSocket::UnconnectedState) {
        m_socket.connectToHost(QHostAddress{m_address}, m_port);
    }
}

void replication_puller::pull(log_position from)
{
    m_asked_at = steady_now();
    m_socket.write(to_line({{"server", m_replica.options().name},
                            {"term", m_replica.current_term().value()},
                            {"last", to_string(from)}}));
}

void replication_puller::read()
{
    while (m_socket.canReadLine()) {
        const json message = json::parse(m_socket.readLine().toStdString(), nullptr, false);
        if (!message.is_object()) {
            m_socket.abort();
            return;
        }
        if (message.contains("back_to")) {
            pull(m_replica.log().position_at(message.at("back_to").get<std::uint64_t>()));
            continue;
        }
        const auto previous = parse_position(message.value("previous", std::string{}));
        const auto primary_last = parse_position(message.value("primary_last", std::string{}));
        const term from{message.value("term", 0ULL)};
        if (!previous || !primary_last ||
            !m_replica.take_entries(from, *previous, entries_from(message.at("entries")))) {
            m_socket.abort();
            return;
        }
        m_replica.primary_was_at(*primary_last, m_asked_at);
        pull(m_replica.last());
    }
}

} // namespace gypsumstep::standin
