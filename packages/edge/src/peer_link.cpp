#include "peer_link.h"

#include "gypsumstep/logging/logging.h"

#include "allowance_codec.h"
#include "peer_codec.h"

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

peer_link::peer_link(peer_events events) : m_events{std::move(events)}
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
    send_bytes(daemon, encode_peer_message(message));
}

void peer_link::send(const std::string& daemon, const allowance::message& message)
{
    send_bytes(daemon, encode_allowance_message(message));
}

void peer_link::send_bytes(const std::string& daemon, const QByteArray& bytes)
{
    const auto listed = m_listed.find(daemon);
    const auto sender = m_senders.find(daemon);
    if (listed == m_listed.end() && sender == m_senders.end()) {
        return;
    }
    const auto& [host, port] = listed == m_listed.end() ? sender->second : listed->second;
    if (bytes.size() > max_peer_message_bytes || m_socket.writeDatagram(bytes, host, port) < 0) {
        log().warn("could not send a message to a daemon",
                   {{"daemon", daemon},
                    {"bytes", static_cast<std::uint64_t>(bytes.size())},
                    {"cause", m_socket.errorString().toStdString()}});
    }
}

void peer_link::remember_sender(const std::string& sender, const QNetworkDatagram& datagram)
{
    if (m_senders.size() >= max_unlisted_senders && !m_senders.contains(sender)) {
        m_senders.clear();
    }
    m_senders.insert_or_assign(sender, address{datagram.senderAddress(),
                                               static_cast<std::uint16_t>(datagram.senderPort())});
}

void peer_link::receive()
{
    const auto ignore = [](const QNetworkDatagram& datagram) {
        log().warn("ignored a malformed datagram",
                   {{"sender", datagram.senderAddress().toString().toStdString()}});
    };
    while (m_socket.hasPendingDatagrams()) {
        const QNetworkDatagram datagram = m_socket.receiveDatagram(max_peer_message_bytes);
        const QByteArray bytes = datagram.data();
        if (is_allowance_message(bytes)) {
            const auto message = decode_allowance_message(bytes);
            if (message.has_error()) {
                ignore(datagram);
                continue;
            }
            if (const std::string* const sender = sender_of(message.value())) {
                remember_sender(*sender, datagram);
            }
            m_events.allowance(message.value());
            continue;
        }
        const auto message = decode_peer_message(bytes);
        if (message.has_error()) {
            ignore(datagram);
            continue;
        }
        remember_sender(message.value().sender, datagram);
        m_events.claims(message.value());
    }
}

} // namespace gypsumstep::edge
