// Tests the HTTP client against a server that sends scripted answers, none, or closes the
// connection, and the HTTP server against the client.
#include "event_loop.h"
#include "http_client.h"
#include "http_server.h"

#include <catch2/catch.hpp>

#include <QTcpServer>
#include <QTcpSocket>

#include <optional>
#include <vector>

using namespace gypsumstep;
using namespace gypsumstep::edge;
using namespace gypsumstep::edge::test;

namespace {

/// Answers each request with the next text. Closes the connection if the text is empty, and does
/// not answer once no text is left.
class scripted_server : public QObject {
public:
    explicit scripted_server(std::vector<QByteArray> answers) : m_answers{std::move(answers)}
    {
        application();
        REQUIRE(m_server.listen(QHostAddress::LocalHost, 0));
        connect(&m_server, &QTcpServer::newConnection, this, [this] {
            QTcpSocket* const socket = m_server.nextPendingConnection();
            connect(socket, &QTcpSocket::readyRead, this, [this, socket] {
                socket->readAll();
                if (m_next >= m_answers.size()) {
                    return;
                }
                const QByteArray answer = m_answers[m_next++];
                if (answer.isEmpty()) {
                    socket->abort();
                    return;
                }
                socket->write(answer);
            });
        });
    }

    [[nodiscard]] std::uint16_t port() const { return m_server.serverPort(); }
    [[nodiscard]] std::size_t answered() const { return m_next; }

private:
    QTcpServer m_server;
    std::vector<QByteArray> m_answers;
    std::size_t m_next{0};
};

const QByteArray ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

adapter::http_request get()
{
    return {"GET", "/x", {}, {}};
}

} // namespace

TEST_CASE("calls are answered in their order over one connection")
{
    scripted_server server{{ok, "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"}};
    http_client client{"127.0.0.1", server.port()};
    std::vector<std::uint32_t> statuses;
    for (int i = 0; i < 2; ++i) {
        client.call(get(), 2s, [&](const auto& response) {
            statuses.push_back(response.has_value() ? response.value().status : 0);
        });
    }
    REQUIRE(run_until([&] { return statuses.size() == 2; }));
    CHECK(statuses == std::vector<std::uint32_t>{200, 404});
}

TEST_CASE("a call whose connection is lost fails with a timeout error, and the next call succeeds")
{
    scripted_server server{{"", ok}};
    http_client client{"127.0.0.1", server.port()};
    std::optional<error_code> first;
    std::optional<std::uint32_t> second;
    client.call(get(), 2s, [&](const auto& response) { first = response.error().code; });
    client.call(get(), 2s, [&](const auto& response) { second = response.value().status; });
    REQUIRE(run_until([&] { return second.has_value(); }));
    CHECK(first == error_code::timeout);
    CHECK(second == 200);
}

TEST_CASE("a call that is not answered in time fails with a timeout error")
{
    scripted_server server{{}};
    http_client client{"127.0.0.1", server.port()};
    std::optional<error_code> failure;
    client.call(get(), 100ms, [&](const auto& response) { failure = response.error().code; });
    REQUIRE(run_until([&] { return failure.has_value(); }));
    CHECK(failure == error_code::timeout);
}

TEST_CASE("a refused connection fails with the error that says that nothing was sent")
{
    std::uint16_t unused = 0;
    {
        const scripted_server closed_server{{}};
        unused = closed_server.port();
    }
    http_client client{"127.0.0.1", unused};
    std::optional<error_code> failure;
    client.call(get(), 2s, [&](const auto& response) { failure = response.error().code; });
    REQUIRE(run_until([&] { return failure.has_value(); }));
    CHECK(failure == error_code::unavailable);
}

TEST_CASE("an answer that is not HTTP fails the call")
{
    scripted_server server{{"SSH-2.0-x\r\n\r\n"}};
    http_client client{"127.0.0.1", server.port()};
    bool failed = false;
    client.call(get(), 2s, [&](const auto& response) { failed = response.has_error(); });
    CHECK(run_until([&] { return failed; }));
}

TEST_CASE("the server sends the responses of its handler")
{
    application();
    metrics::registry registry;
    connection_guard guard{{}, registry};
    http_server server{
        [](const std::string& path) {
            return adapter::http_response{path == "/readiness" ? 200U : 404U, "text\n"};
        },
        guard};
    constexpr std::uint16_t port = 28'431;
    REQUIRE(server.listen("127.0.0.1", port));
    http_client client{"127.0.0.1", port};
    std::vector<std::uint32_t> statuses;
    for (const char* path : {"/readiness", "/other"}) {
        client.call({"GET", path, {}, {}}, 2s,
                    [&](const auto& response) { statuses.push_back(response.value().status); });
    }
    REQUIRE(run_until([&] { return statuses.size() == 2; }));
    CHECK(statuses == std::vector<std::uint32_t>{200, 404});
}
