#include "peer_link.h"

#include "gypsumstep/logging/logging.h"

#include "peer_codec.h"

#include <QNetworkDatagram>

namespace gypsumstep::edge {
namespace {

/// Largest number of unlisted daemons whose addresses are kept.
constexpr std::size_t max_unlisted_senders = 1000;

const logging::logger& log()
{
    static const logging::logger instance{"peers"};
    return instance;
}

} // namespace

peer_link::peer_link(std::function<void(const promotion::peer_message&)> on_message)
    : m_on_message{std::move(on_message)}
{
    connect(&m_socket, &QUdpSocket::readyRead, this, [this] { receive(); });
}

bool peer_link::listen(const std::string& host, std::uint16_t port)
{
    return m_socket.bind(QHostAddress{QString::fromStdString(host)}, port);
}

void peer_link::set_daemons(const std::vector<homes::daemon_entry>& daemons)
{
    m_listed.clear();
    for (const homes::daemon_entry& daemon : daemons) {
        m_listed.emplace(daemon.name,
                         address{QHostAddress{QString::fromStdString(daemon.host)}, daemon.port});
    }
}

void peer_link::send(const std::string& daemon, const promotion::peer_message& message)
{
    const auto listed = m_listed.find(daemon);
    const auto sender = m_senders.find(daemon);
    if (listed == m_listed.end() && sender == m_senders.end()) {
        return;
    }
    const auto& [host, port] = listed == m_listed.end() ? sender->second : listed->second;
    const QByteArray bytes = encode_peer_message(message);
    if (bytes.size() > max_peer_message_bytes || m_socket.writeDatagram(bytes, host, port) < 0) {
        log().warn("could not send a message to a daemon",
                   {{"daemon", daemon},
                    {"bytes", static_cast<std::uint64_t>(bytes.size())},
                    {"cause", m_socket.errorString().toStdString()}});
    }
}

void peer_link::receive()
{
    while (m_socket.hasPendingDatagrams()) {
        const QNetworkDatagram datagram = m_socket.receiveDatagram(max_peer_message_bytes);
        const auto message = decode_peer_message(datagram.data());
        if (message.has_error()) {
            log().warn("ignored a malformed datagram",
                       {{"sender", datagram.senderAddress().toString().toStdString()}});
            continue;
        }
        const std::string& sender = message.value().sender;
        if (m_senders.size() >= max_unlisted_senders && !m_senders.contains(sender)) {
            m_senders.clear();
        }
        m_senders.insert_or_assign(
            sender,
            address{datagram.senderAddress(), static_cast<std::uint16_t>(datagram.senderPort())});
        m_on_message(message.value());
    }
}

} // namespace gypsumstep::edge
