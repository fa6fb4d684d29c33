/// \file
/// Replication between backend stand-ins: replicas pull from the primary.
#pragma once

#include "replica.h"

#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <vector>

namespace gypsumstep::standin {

/// Answers the pulls of replicas on the primary's replication port.
class replication_feed : public QObject {
    Q_OBJECT

public:
    explicit replication_feed(replica& server);

    /// Listens on an IP number; false if the port is taken.
    bool listen(const QString& address, quint16 port);

private:
    struct waiting_pull {
        QTcpSocket* socket;
        std::uint64_t index;
    };

    void accept();
    void read(QTcpSocket* socket);
    void answer(QTcpSocket* socket, const std::string& line);
    void send_entries(QTcpSocket* socket, std::uint64_t index);
    void answer_waiting(bool all);

    replica& m_replica;
    QTcpServer m_server;
    QTimer m_heartbeat;
    std::vector<waiting_pull> m_waiting;
};

/// Pulls entries from a primary into this replica.
class replication_puller : public QObject {
    Q_OBJECT

public:
    explicit replication_puller(replica& server);

    /// Pulls from the primary at this address; replaces an earlier one.
    void start(const QString& address, quint16 port);
    void stop();

private:
    void connect_again();
    void pull(log_position from);
    void read();

    replica& m_replica;
    QTcpSocket m_socket;
    QTimer m_reconnect;
    QString m_address;
    quint16 m_port{0};
    time_point m_asked_at{};
};

} // namespace gypsumstep::standin
