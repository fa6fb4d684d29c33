/// \file
/// Takes the store's contents from another daemon.
#pragma once

#include "relay_codec.h"

#include <QObject>
#include <QTcpSocket>

#include <array>
#include <functional>
#include <optional>
#include <string>

namespace gypsumstep::edge {

/// Callbacks for what a reader sent. Each names the reader first.
struct relay_client_events {
    /// Receives each message of a reader, with the whole set of rows in place of changes.
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
    /// Applies a message about a subject to the rows that this daemon has of it.
    /// \return the message to be passed on; nothing if a message before it is missing
    [[nodiscard]] std::optional<relay_message> complete(relay_message message);
    void on_lost(const std::string& cause);
    void send(const relay_message& message);

    homes::daemon_entry m_self;
    relay_client_events m_events;
    std::optional<std::string> m_reader;
    QTcpSocket* m_socket{nullptr};
    relay_decoder m_decoder;
    /// The rows of each subject as a reader sent them last. They outlive a subscription, so that
    /// the next reader sends a subject only if it has other contents.
    std::array<std::optional<relay_rows>, store_subject_count> m_rows;
    std::array<bool, store_subject_count> m_is_current{}; ///< by this subscription's messages
    proxy::listing_urgency m_urgency{proxy::listing_urgency::none};
};

} // namespace gypsumstep::edge
