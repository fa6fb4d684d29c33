/// \file
/// Sends messages to the other daemons as datagrams, and receives theirs.
#pragma once

#include "gypsumstep/homes/home_table.h"
#include "gypsumstep/promotion/peer_message.h"

#include <QHostAddress>
#include <QObject>
#include <QUdpSocket>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace gypsumstep::edge {

/// The datagrams between this daemon and the others. A datagram may be lost.
class peer_link : public QObject {
public:
    explicit peer_link(std::function<void(const promotion::peer_message&)> on_message);

    /// Starts to receive; false if the address cannot be used.
    [[nodiscard]] bool listen(const std::string& host, std::uint16_t port);

    /// Replaces the addresses of the daemons.
    void set_daemons(const std::vector<homes::daemon_entry>& daemons);

    /// Sends a message to a daemon that is listed or has sent one itself.
    void send(const std::string& daemon, const promotion::peer_message& message);

private:
    using address = std::pair<QHostAddress, std::uint16_t>;

    void receive();

    std::function<void(const promotion::peer_message&)> m_on_message;
    QUdpSocket m_socket;
    std::map<std::string, address, std::less<>> m_listed;
    std::map<std::string, address, std::less<>> m_senders; ///< daemons that sent a message
};

} // namespace gypsumstep::edge
