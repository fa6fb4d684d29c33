/// \file
/// Sends messages to the other daemons as datagrams, and receives theirs.
#pragma once

#include "gypsumstep/allowance/messages.h"
#include "gypsumstep/homes/home_table.h"
#include "gypsumstep/promotion/peer_message.h"

#include <QHostAddress>
#include <QNetworkDatagram>
#include <QObject>
#include <QUdpSocket>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace gypsumstep::edge {

/// Callbacks for the messages of other daemons.
struct peer_events {
    std::function<void(const promotion::peer_message&)> claims;
    std::function<void(const allowance::message&)> allowance;
};

/// The datagrams between this daemon and the others, of both kinds on one port. A datagram may be
/// lost.
class peer_link : public QObject {
public:
    explicit peer_link(peer_events events);

    /// Starts to receive; false if the address cannot be used.
    [[nodiscard]] bool listen(const std::string& host, std::uint16_t port);

    [[nodiscard]] bool is_listening() const
    {
        return m_socket.state() == QAbstractSocket::BoundState;
    }

    /// Replaces the addresses of the daemons.
    void set_daemons(const std::vector<homes::daemon_entry>& daemons);

    /// Sends a message to a daemon that is listed or has sent one itself.
    void send(const std::string& daemon, const promotion::peer_message& message);
    void send(const std::string& daemon, const allowance::message& message);

private:
    using address = std::pair<QHostAddress, std::uint16_t>;

    void receive();
    void send_bytes(const std::string& daemon, const QByteArray& bytes);
    void remember_sender(const std::string& sender, const QNetworkDatagram& datagram);

    peer_events m_events;
    QUdpSocket m_socket;
    std::map<std::string, address, std::less<>> m_listed;
    std::map<std::string, address, std::less<>> m_senders; ///< daemons that sent a message
};

} // namespace gypsumstep::edge
