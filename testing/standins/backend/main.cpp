// Backend server stand-in: PostgreSQL protocol before an embedded, replicated SQLite database.
#include "client_connection.h"

#include <QCoreApplication>
#include <QHostAddress>
#include <QTimer>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <cstdio>

ABSL_FLAG(std::string, name, "server", "name of this server in its group");
ABSL_FLAG(std::string, address, "127.0.0.1", "IP number to listen on");
ABSL_FLAG(int, port, 5501, "port for the PostgreSQL protocol; the next one serves replication");
ABSL_FLAG(int, group_size, 3, "servers in the group");
ABSL_FLAG(int, slots, 5, "statements that run at a time");
ABSL_FLAG(int, connections, 30, "open connections at most");
ABSL_FLAG(int, connect_ms, 10, "time that a new connection takes");
ABSL_FLAG(int, service_ms, 0, "time that a statement occupies a slot");
ABSL_FLAG(int, lag_ms, 0, "time from holding an entry to showing it to reads");

namespace {

using namespace gypsumstep;

/// Accepts connections after their delay, within the limit.
class acceptor : public QObject {
public:
    acceptor(standin::server_parts parts, int limit, std::chrono::milliseconds delay)
        : m_parts{parts}, m_limit{limit}, m_delay{delay}
    {
        connect(&m_server, &QTcpServer::newConnection, this, [this] { accept(); });
    }

    bool listen(const std::string& address, int port)
    {
        return m_server.listen(QHostAddress{QString::fromStdString(address)},
                               static_cast<quint16>(port));
    }

private:
    void accept()
    {
        while (QTcpSocket* socket = m_server.nextPendingConnection()) {
            if (m_open >= m_limit) {
                const auto bytes =
                    pgwire::error_response({"FATAL", "53300", "too many connections", "", ""});
                socket->write(QByteArray::fromStdString(bytes));
                socket->disconnectFromHost();
                connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
                continue;
            }
            ++m_open;
            connect(socket, &QObject::destroyed, this, [this] { --m_open; });
            QTimer::singleShot(m_delay, socket, [this, socket] {
                if (socket->state() != QAbstractSocket::ConnectedState) {
                    socket->deleteLater();
                    return;
                }
                new standin::client_connection{socket, m_parts}; // NOLINT: owns itself
                Q_EMIT socket->readyRead();
            });
        }
    }

    standin::server_parts m_parts;
    QTcpServer m_server;
    int m_limit;
    int m_open{0};
    std::chrono::milliseconds m_delay;
};

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Backend server stand-in for tests; keeps everything in memory.");
    absl::ParseCommandLine(argc, argv);
    QCoreApplication application{argc, argv};
    std::signal(SIGTERM, [](int) { QCoreApplication::quit(); });

    standin::replica state{{absl::GetFlag(FLAGS_name),
                            static_cast<std::uint32_t>(absl::GetFlag(FLAGS_group_size)),
                            std::chrono::milliseconds{absl::GetFlag(FLAGS_lag_ms)}}};
    standin::replication_feed feed{state};
    standin::replication_puller puller{state};
    standin::slot_pool pool{static_cast<std::uint32_t>(absl::GetFlag(FLAGS_slots)),
                            std::chrono::milliseconds{absl::GetFlag(FLAGS_service_ms)}};
    acceptor server{{state, puller, pool},
                    absl::GetFlag(FLAGS_connections),
                    std::chrono::milliseconds{absl::GetFlag(FLAGS_connect_ms)}};
    const std::string address = absl::GetFlag(FLAGS_address);
    const int port = absl::GetFlag(FLAGS_port);
    if (!server.listen(address, port) ||
        !feed.listen(QString::fromStdString(address), static_cast<quint16>(port + 1))) {
        std::fprintf(stderr, "cannot listen on %s:%d\n", address.c_str(), port);
        return 1;
    }
    std::printf("backend stand-in %s listening on %s:%d\n", absl::GetFlag(FLAGS_name).c_str(),
                address.c_str(), port);
    std::fflush(stdout);
    return QCoreApplication::exec();
}
