// Tests of how HTTP failures are told apart, against a fake daemon on loopback.
#include "http_transport.h"

#include <catch2/catch.hpp>

#include <QCoreApplication>
#include <QTcpServer>
#include <QTcpSocket>

#include <string>

using namespace gypsumstep;
using namespace gypsumstep::ctl;

namespace {

/// Answers every connection with the same bytes and closes it; with none it stays silent.
class fake_daemon {
public:
    fake_daemon(std::string response, bool closes)
        : m_response{std::move(response)}, m_closes{closes}
    {
        REQUIRE(m_server.listen(QHostAddress::LocalHost));
        m_port = m_server.serverPort();
        QObject::connect(&m_server, &QTcpServer::newConnection, [this] { accept(); });
    }

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    [[nodiscard]] const std::string& received() const { return m_received; }
    void stop() { m_server.close(); }

private:
    void accept()
    {
        QTcpSocket* socket = m_server.nextPendingConnection();
        QObject::connect(socket, &QTcpSocket::readyRead, [this, socket] {
            m_received += socket->readAll().toStdString();
            socket->write(QByteArray::fromStdString(m_response));
            if (m_closes) {
                socket->disconnectFromHost();
            }
        });
    }

    std::string m_response;
    bool m_closes;
    std::string m_received;
    std::uint16_t m_port{0};
    QTcpServer m_server;
};

constexpr duration short_timeout = 200ms;
constexpr duration long_timeout = 20s;

const request promote{method::post, "/v1/promote?x=1", {{"group", "g"}}, {}};

/// QNetworkAccessManager needs an application for the life of the program.
void need_application()
{
    static int argc = 1;
    static std::string name{"test"};
    static char* argv = name.data();
    static const QCoreApplication application{argc, &argv};
}

answer ask(const fake_daemon& daemon, duration timeout)
{
    http_transport carrier{daemon.address(), "operator-key", timeout};
    REQUIRE(carrier.is_valid());
    return carrier.send(promote);
}

} // namespace

TEST_CASE("an answer comes with its status and body, also when it is a refusal")
{
    need_application();
    const fake_daemon daemon{"HTTP/1.1 409 Conflict\r\nContent-Length: 5\r\n\r\nstale", true};
    const answer got = ask(daemon, long_timeout);
    CHECK(got.how == delivery::answered);
    CHECK(got.http_status == 409);
    CHECK(got.body == "stale");
    CHECK_THAT(daemon.received(), Catch::StartsWith("POST /v1/promote?x=1 HTTP/1.1"));
    CHECK_THAT(daemon.received(), Catch::Contains("Authorization: Bearer operator-key"));
}

TEST_CASE("a refused connection was never sent")
{
    need_application();
    fake_daemon daemon{"", true};
    daemon.stop();
    const answer got = ask(daemon, long_timeout);
    CHECK(got.how == delivery::unreachable);
    CHECK_FALSE(got.problem.empty());
}

TEST_CASE("a connection that ends early or stays silent leaves the outcome unknown")
{
    need_application();
    const fake_daemon closing{"", true};
    CHECK(ask(closing, long_timeout).how == delivery::lost);
    const fake_daemon cut{"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf", true};
    CHECK(ask(cut, long_timeout).how == delivery::lost);
    const fake_daemon silent{"", false};
    CHECK(ask(silent, short_timeout).how == delivery::lost);
}

TEST_CASE("an address without a port is not valid")
{
    need_application();
    for (const char* wrong : {"", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:x", "a b:1"}) {
        INFO(wrong);
        CHECK_FALSE(http_transport(wrong, "", short_timeout).is_valid());
    }
}
