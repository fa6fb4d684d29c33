/// \file
/// Takes the store's contents from another daemon.
#pragma once

#include "relay_codec.h"

#include <QObject>
#include <QTcpSocket>

#include <functional>
#include <optional>
#include <string>

namespace gypsumstep::edge {

/// Callbacks for what a reader sent. Each names the reader first.
struct relay_client_events {
    std::function<void(const std::string&, const relay_message&)> received;
    std::function<void(const std::string&)> lost; ///< the connection failed or ended
};

/// Subscribes to one reader at a time.
class relay_client : public QObject {
public:
    relay_client(homes::daemon_entry self, relay_client_events events);

    /// Subscribes to a reader, and ends the subscription to another one.
    void subscribe(const homes::daemon_entry& reader, std::uint16_t port);
    void unsubscribe();

    /// Returns the name of the reader subscribed to.
    [[nodiscard]] const std::optional<std::string>& reader() const { return m_reader; }

    /// Tells the reader how urgently the servers' registrations are needed, if that has changed.
    void set_urgency(proxy::listing_urgency urgency);

private:
    void on_connected();
    void read();
    void on_lost(const std::string& cause);
    void send(const relay_message& message);

    homes::daemon_entry m_self;
    relay_client_events m_events;
    std::optional<std::string> m_reader;
    QTcpSocket* m_socket{nullptr};
    relay_decoder m_decoder;
    proxy::listing_urgency m_urgency{proxy::listing_urgency::none};
};

} // namespace gypsumstep::edge
