// Tests that the connections of clients may end at any moment. CI runs this program with the
// address and undefined-behaviour sanitizers as well.
#include "client_listener.h"
#include "event_loop.h"

#include <catch2/catch.hpp>

#include <QHostAddress>

#include <optional>
#include <string>

#include <sys/socket.h>

using namespace gypsumstep;
using namespace gypsumstep::edge;
using namespace gypsumstep::edge::test;

namespace {

constexpr std::uint16_t listen_port = 28'433;

/// Resets the connection, so that the other side's next write fails.
void reset(QTcpSocket& client)
{
    const linger at_once{1, 0};
    REQUIRE(::setsockopt(static_cast<int>(client.socketDescriptor()), SOL_SOCKET, SO_LINGER,
                         &at_once, sizeof at_once) == 0);
    client.abort();
}

} // namespace

// Guards against the use of a connection that ended while an answer was written to it: the process
// ended with a segmentation fault.
TEST_CASE("a client may reset its connection before its answer is written")
{
    application();
    metrics::registry registry;
    connection_guard guard{{}, registry};
    std::optional<session_id> started;
    std::size_t closed = 0;
    client_events handlers;
    handlers.connected = [](session_id) {};
    handlers.started = [&](session_id id, const adapter::start_message&) { started = id; };
    handlers.statement_received = [](session_id, const statement::statement&) {};
    handlers.closed = [&](session_id) { ++closed; };
    handlers.malformed = [](session_id, const std::string&) {};
    client_listener clients{handlers, session_id{1}, adapter::line_sender::client, guard};
    REQUIRE(clients.listen("127.0.0.1", listen_port));
    // The second write to a reset connection fails at once.
    for (std::size_t round = 1; round <= 20; ++round) {
        CAPTURE(round);
        started.reset();
        QTcpSocket client;
        client.connectToHost(QHostAddress::LocalHost, listen_port);
        client.write("START orders k1\r\n");
        REQUIRE(run_until([&] { return started.has_value(); }));
        reset(client);
        statement::answer answer;
        answer.rows = {std::string(200'000, 'x')};
        for (int count = 0; count < 3; ++count) {
            clients.send_answer(*started, answer);
        }
        REQUIRE(run_until([&] { return closed == round; }));
    }
}

// LOST: a process that was asked to stop ended while the end of an answer was in its own buffer, as
// the closed connection was forgotten.
TEST_CASE("the answer of a closed connection counts as unsent until the client has received it")
{
    application();
    metrics::registry registry;
    connection_guard guard{{}, registry};
    std::optional<session_id> started;
    client_events handlers;
    handlers.connected = [](session_id) {};
    handlers.started = [&](session_id id, const adapter::start_message&) { started = id; };
    handlers.statement_received = [](session_id, const statement::statement&) {};
    handlers.closed = [](session_id) {};
    handlers.malformed = [](session_id, const std::string&) {};
    client_listener clients{handlers, session_id{1}, adapter::line_sender::client, guard};
    REQUIRE(clients.listen("127.0.0.1", listen_port));
    QTcpSocket client;
    client.setReadBufferSize(1);
    client.connectToHost(QHostAddress::LocalHost, listen_port);
    client.write("START orders k1\r\n");
    REQUIRE(run_until([&] { return started.has_value(); }));
    CHECK_FALSE(clients.has_unsent_answers());
    const std::string line(100'000, 'x');
    std::size_t sent = 0;
    constexpr std::size_t most = 50'000'000;
    while (!clients.has_unsent_answers() && sent < most) {
        clients.write(*started, line);
        sent += line.size();
    }
    REQUIRE(clients.has_unsent_answers());
    clients.close(*started);
    CHECK(clients.has_unsent_answers());
    client.setReadBufferSize(0);
    std::size_t received = 0;
    CHECK(run_until([&] {
        received += static_cast<std::size_t>(client.readAll().size());
        return received == sent;
    }));
    CHECK(run_until([&] { return !clients.has_unsent_answers(); }));
}
