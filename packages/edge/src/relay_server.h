/// \file
/// Passes the store's contents on to subscribed daemons.
#pragma once

#include "connection_guard.h"
#include "relay_codec.h"

#include <QObject>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gypsumstep::edge {

/// What the relay server needs from its owner.
struct relay_server_events {
    /// How urgently the subscribers need the servers' registrations may have changed.
    std::function<void()> urgency_changed;
    /// Returns what is told to the subscribers each second.
    std::function<relay_status()> status;
};

/// Accepts the subscriptions of other daemons and sends them what this daemon reads from the
/// store: of each subject all rows to a daemon that does not have them, and from then on the rows
/// that have changed, or that none has. So its bytes grow with the number of subscribers, which is
/// limited, times what has changed.
class relay_server : public QObject {
public:
    /// \param guard bounds what the connections hold; outlives the server
    relay_server(relay_server_events events, connection_guard& guard);

    /// False if the address cannot be used.
    [[nodiscard]] bool listen(const std::string& host, std::uint16_t port);

    /// Ends all subscriptions and accepts no more, so that the subscribers turn to another reader.
    void close();

    /// Passes on a reading of a subject.
    /// \param changed whether it differs from the reading before in what subscribers use
    void publish(store_subject subject, const adapter::stored_rows& rows, bool changed);

    /// Forgets the lists of the store's era before, so that the next ones are sent whole. The
    /// configuration is kept, since its own version decides whether another one replaces it.
    void on_store_rolled_back();

    /// Returns how urgently any subscriber needs the servers' registrations.
    [[nodiscard]] proxy::listing_urgency server_listing_urgency() const;

    /// Returns the subscribed daemons.
    [[nodiscard]] std::vector<homes::daemon_entry> subscribers() const;

private:
    struct subscription {
        QTcpSocket* socket{nullptr};
        relay_decoder decoder{max_subscriber_message_bytes};
        intake::connection_id guarded;
        std::optional<homes::daemon_entry> daemon; ///< empty until its hello
        proxy::listing_urgency servers{proxy::listing_urgency::none};
        std::optional<row_digests> digests; ///< of the rows that it has
        /// By subject: the newest rows were sent, or it had them.
        std::array<bool, store_subject_count> is_current{};
        bool is_ending{false}; ///< its connection is about to be closed
    };

    void accept();
    void read(QTcpSocket* socket);
    void on_message(subscription& subscriber, const relay_message& message);
    void remove(QTcpSocket* socket);
    /// Sends all rows of a subject, or that it has them already.
    void send_newest(subscription& subscriber, store_subject subject);
    /// Queues a message. Never ends the subscription before it returns.
    void send(subscription& subscriber, const QByteArray& bytes);
    void send_status();

    relay_server_events m_events;
    connection_guard& m_guard;
    QTcpServer m_server;
    QTimer m_status_timer;
    std::map<QTcpSocket*, std::unique_ptr<subscription>> m_subscriptions;
    std::array<std::optional<relay_rows>, store_subject_count> m_newest; ///< by subject
    row_digests m_digests{};                                             ///< of m_newest
    /// Encoded m_newest, since many daemons may subscribe at once; empty until it is needed.
    std::array<QByteArray, store_subject_count> m_encoded;
};

} // namespace gypsumstep::edge
