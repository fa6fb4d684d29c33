// Tests the forwarding of sessions to another daemon, over real sockets.
#include "boot_clock.h"
#include "event_loop.h"
#include "session_forwarder.h"

#include <catch2/catch.hpp>

#include <QHostAddress>

#include <functional>
#include <optional>
#include <string>
#include <vector>

using namespace gypsumstep;
using namespace gypsumstep::edge;
using namespace gypsumstep::edge::test;

namespace {

/// A home that records the lines that it receives. The test sends its answers.
struct fake_home : QObject {
    QTcpServer server;
    QTcpSocket* session{nullptr};
    std::string received;

    fake_home()
    {
        REQUIRE(server.listen(QHostAddress::LocalHost, 0));
        connect(&server, &QTcpServer::newConnection, this, [this] {
            session = server.nextPendingConnection();
            connect(session, &QTcpSocket::readyRead, this,
                    [this] { received += session->readAll().toStdString(); });
        });
    }

    void answer(const char* lines)
    {
        session->write(lines);
        session->flush();
    }
};

constexpr std::uint16_t listen_port = 28'432;
constexpr std::uint32_t few_connections = 4; // few enough that a group has only one home

/// A daemon that forwards everything to one home, and a client of it.
struct forwarding_daemon {
    fake_home home;
    homes::home_table table{"self", "b", {}};
    operation_terms terms{statement::error_class::none, 100ms};
    metrics::registry registry;
    connection_guard guard{{}, registry};
    bool limited{false};
    std::vector<std::function<void(const std::optional<std::string>&)>> held;
    std::size_t cancelled{0};
    client_listener clients{events(), session_id{1}, adapter::line_sender::client, guard};
    session_forwarder forwarder{clients,
                                table,
                                1,
                                [this](const adapter::start_message&) { return terms; },
                                [](session_id, const adapter::start_message&) {},
                                limits()};
    QTcpSocket client;
    std::string client_received;

    forwarding_daemon()
    {
        table.set_daemons({{"home", "a", "127.0.0.1", home.server.serverPort()},
                           {"self", "b", "", 0},
                           {"third", "c", "127.0.0.1", 1}});
        REQUIRE(clients.listen("127.0.0.1", listen_port));
        QObject::connect(&client, &QTcpSocket::readyRead, &client,
                         [this] { client_received += client.readAll().toStdString(); });
        client.connectToHost(QHostAddress::LocalHost, listen_port);
        client.write("START orders k1\r\n");
        REQUIRE(run_until([this] { return !home.received.empty(); }));
    }

    operation_limits limits()
    {
        return {[this](const adapter::start_message&) {
                    return limited ? std::optional<std::string>{"acme"} : std::nullopt;
                },
                [this](const std::string&, session_id, auto on_decided) {
                    held.push_back(std::move(on_decided));
                },
                [this](session_id) { ++cancelled; }};
    }

    client_events events()
    {
        client_events handlers;
        handlers.connected = [](session_id) {};
        handlers.started = [this](session_id id, const adapter::start_message& message) {
            forwarder.forward(id, {{message.database, message.key, config_version{7}},
                                   service_homed_at_home(),
                                   few_connections,
                                   100ms});
        };
        handlers.statement_received = [](session_id, const statement::statement&) {};
        handlers.closed = [this](session_id id) { forwarder.on_client_closed(id); };
        handlers.malformed = [](session_id, const std::string&) {};
        return handlers;
    }

    /// Returns the name of a group whose only home is the fake home.
    std::string service_homed_at_home() const
    {
        for (int i = 0; i < 100; ++i) {
            std::string name = "service" + std::to_string(i);
            if (table.homes_of(name, few_connections).front().name == "home") {
                return name;
            }
        }
        return {};
    }

    void start()
    {
        home.answer("READY I -\r\n");
        REQUIRE(run_until([this] { return client_received == "READY I -\r\n"; }));
        client_received.clear();
    }

    void send(const char* line)
    {
        home.received.clear();
        client.write(line);
        REQUIRE(run_until([&] { return home.received == line; }));
    }
};

} // namespace

TEST_CASE("a session is started at its home with the configuration in force")
{
    application();
    forwarding_daemon daemon;
    CHECK(daemon.home.received ==
          "START orders 7 6ab9f1eb8f7d3388f4f9d586f66e99fd54080df2c446f0e58668b09c08a16dd0\r\n");
    daemon.start();
    daemon.send("QUERY 1 READ a\r\n");
    daemon.home.answer("ROW x\r\nDONE 7.1\r\nREADY I 1.5\r\n");
    CHECK(run_until(
        [&] { return daemon.client_received == "ROW x\r\nDONE 7.1\r\nREADY I 1.5\r\n"; }));
}

TEST_CASE("when a home is lost, a read is aborted and a write's outcome is unknown")
{
    application();
    for (const bool write : {false, true}) {
        CAPTURE(write);
        forwarding_daemon daemon;
        daemon.start();
        daemon.send(write ? "QUERY 1 WRITE a b\r\n" : "QUERY 1 READ a\r\n");
        daemon.home.session->abort();
        const std::string code = write ? "ERROR UNKNOWN" : "ERROR ABORTED";
        CHECK(run_until([&] { return daemon.client_received.starts_with(code); }));
        CHECK(run_until([&] { return daemon.forwarder.session_count() == 0; }));
    }
}

TEST_CASE("a home that does not answer counts as lost after the statement's time")
{
    application();
    forwarding_daemon daemon;
    daemon.start();
    daemon.send("QUERY 1 READ a\r\n");
    daemon.forwarder.on_tick(boot_now() + 500ms);
    CHECK(daemon.client_received.empty());
    daemon.forwarder.on_tick(boot_now() + 2s);
    CHECK(run_until([&] { return daemon.client_received.starts_with("ERROR ABORTED"); }));
}

TEST_CASE("a shutdown closes idle sessions, and busy ones only once they are answered")
{
    application();
    forwarding_daemon daemon;
    daemon.start();
    daemon.send("QUERY 1 READ a\r\n");
    daemon.forwarder.begin_shutdown({boot_now(), 6s}, boot_now());
    daemon.forwarder.on_tick(boot_now() + 1s);
    CHECK(daemon.forwarder.session_count() == 1);
    daemon.home.answer("DONE 7.1\r\nREADY I 1.5\r\n");
    REQUIRE(run_until([&] { return !daemon.client_received.empty(); }));
    daemon.forwarder.on_tick(boot_now() + 5s);
    CHECK(daemon.forwarder.session_count() == 0);
}

// LOST: a session that never rested was open until the process ended.
TEST_CASE("a shutdown closes a busy forwarded session with an answer, after its time")
{
    application();
    forwarding_daemon daemon;
    daemon.start();
    daemon.forwarder.begin_shutdown({boot_now() - 2s, 6s}, boot_now() - 2s);
    daemon.send("QUERY 1 READ a\r\n");
    daemon.home.answer("DONE 7.1\r\nREADY I 1.5\r\n");
    REQUIRE(run_until([&] { return !daemon.client_received.empty(); }));
    CHECK(daemon.forwarder.session_count() == 0);
    CHECK(run_until([&] { return daemon.client.state() == QAbstractSocket::UnconnectedState; }));
    CHECK(daemon.client_received == "DONE 7.1\r\nREADY I 1.5\r\n");
}

// LOST: as above, for a transaction that was busy whenever it was looked at.
TEST_CASE("a shutdown closes a busy forwarded transaction after half of the grace period")
{
    application();
    forwarding_daemon daemon;
    daemon.start();
    daemon.forwarder.begin_shutdown({boot_now() - 2s, 6s}, boot_now() - 2s);
    daemon.send("QUERY 1 BEGIN\r\n");
    daemon.home.answer("DONE -\r\nREADY T 1.5\r\n");
    REQUIRE(run_until([&] { return !daemon.client_received.empty(); }));
    daemon.forwarder.on_tick(boot_now() + 900ms);
    CHECK(daemon.forwarder.session_count() == 1);
    daemon.forwarder.on_tick(boot_now() + 1s);
    CHECK(daemon.forwarder.session_count() == 0);
}

// LOST: the process ended without an answer to what the homes had not answered.
TEST_CASE("a forwarded statement without an answer gets an error at the end of a shutdown")
{
    application();
    for (const bool write : {false, true}) {
        CAPTURE(write);
        forwarding_daemon daemon;
        daemon.start();
        daemon.send(write ? "QUERY 1 WRITE a b\r\n" : "QUERY 1 READ a\r\n");
        daemon.forwarder.begin_shutdown({boot_now() - 5700ms, 6s}, boot_now());
        daemon.forwarder.on_tick(boot_now());
        CHECK(daemon.forwarder.session_count() == 0);
        const std::string code = write ? "ERROR UNKNOWN" : "ERROR ABORTED";
        CHECK(run_until([&] { return daemon.client_received.starts_with(code); }));
    }
}

TEST_CASE("a shutdown refuses a forwarded statement at once if it could not end any more")
{
    application();
    for (const bool begins : {false, true}) {
        CAPTURE(begins);
        forwarding_daemon daemon;
        daemon.start();
        const duration passed = begins ? 3s : 4700ms;
        daemon.forwarder.begin_shutdown({boot_now() - passed, 6s}, boot_now());
        daemon.home.received.clear();
        daemon.client.write(begins ? "QUERY 1 BEGIN\r\n" : "QUERY 1 WRITE a b\r\n");
        CHECK(run_until([&] { return daemon.client_received.starts_with("ERROR BUSY"); }));
        CHECK(daemon.forwarder.session_count() == 0);
        CHECK(daemon.home.received.empty());
    }
}

TEST_CASE("a session that no home accepts is refused as busy and not run")
{
    application();
    forwarding_daemon daemon;
    daemon.home.answer("ERROR BUSY x\r\n");
    CHECK(run_until([&] { return daemon.client_received.starts_with("ERROR BUSY"); }));
}

// Guards against a removed key that stays valid on open sessions whose home has an older
// configuration.
TEST_CASE("a forwarded session whose key was removed gets no further operation")
{
    application();
    forwarding_daemon daemon;
    daemon.start();
    daemon.send("QUERY 1 BEGIN\r\n");
    daemon.home.answer("DONE -\r\nREADY T -\r\n");
    REQUIRE(run_until([&] { return daemon.client_received.ends_with("READY T -\r\n"); }));
    daemon.terms.refusal = statement::error_class::unauthorized;
    daemon.send("QUERY 1 ROLLBACK\r\n");
    daemon.client_received.clear();
    daemon.home.answer("DONE -\r\nREADY I -\r\n");
    REQUIRE(run_until([&] { return daemon.client_received.ends_with("READY I -\r\n"); }));
    daemon.client_received.clear();
    daemon.home.received.clear();
    daemon.client.write("QUERY 2 READ a\r\n");
    CHECK(run_until([&] { return daemon.client_received.starts_with("ERROR NOAUTH"); }));
    CHECK(daemon.home.received.empty());
}

// CONFIG: the entry daemon gave statements up by the timeout that was in force at the session's
// start.
TEST_CASE("a raised timeout applies to the next operation of a forwarded session")
{
    application();
    forwarding_daemon daemon;
    daemon.start();
    daemon.terms.statement_timeout = 5s;
    daemon.send("QUERY 1 READ a\r\n");
    daemon.forwarder.on_tick(boot_now() + 4s);
    CHECK(daemon.forwarder.session_count() == 1);
    daemon.forwarder.on_tick(boot_now() + 7s);
    CHECK(run_until([&] { return daemon.client_received.starts_with("ERROR ABORTED"); }));
}

// CONFIG: an operation ran on a removed route, as its home had an older configuration.
TEST_CASE("an operation of a forwarded session whose route was removed is not sent to its home")
{
    application();
    forwarding_daemon daemon;
    daemon.start();
    daemon.terms.refusal = statement::error_class::unknown_database;
    daemon.home.received.clear();
    daemon.client.write("QUERY 1 READ a\r\n");
    CHECK(run_until([&] { return daemon.client_received.starts_with("ERROR NODB"); }));
    CHECK(daemon.client_received.ends_with("READY I -\r\n"));
    CHECK(daemon.home.received.empty());
    // The session goes on, as the route may be added again.
    daemon.terms.refusal = statement::error_class::none;
    daemon.send("QUERY 2 READ a\r\n");
}

// Guards against a client with an unknown key that is sent to one home after the other.
TEST_CASE("a home's refusal of a key goes to the client")
{
    application();
    forwarding_daemon daemon;
    daemon.home.answer("ERROR NOAUTH the key is not known\r\n");
    CHECK(run_until(
        [&] { return daemon.client_received == "ERROR NOAUTH the key is not known\r\n"; }));
}

// Guards against sessions of a home that leave the region, or are refused, since the home of
// their account is lost.
TEST_CASE("a home serves a session itself if its account's home does not accept it")
{
    application();
    constexpr std::uint32_t three_homes = 12;
    homes::home_table table{"self", "b", {{"a", "west"}, {"b", "west"}, {"c", "east"}}};
    // Nothing listens on port 1.
    table.set_daemons(
        {{"lost", "a", "127.0.0.1", 1}, {"self", "b", "", 0}, {"far", "c", "127.0.0.1", 1}});
    homes::account_traffic account{"account0", 0.01};
    for (int number = 1; table.serves_account("s", three_homes, account, boot_now()); ++number) {
        account.name = "account" + std::to_string(number);
    }
    std::string served;
    client_listener* listener = nullptr;
    session_forwarder* forwarder = nullptr;
    client_events handlers;
    handlers.connected = [](session_id) {};
    handlers.started = [&](session_id id, const adapter::start_message& message) {
        forwarder->forward(
            id,
            {{message.database, message.key, config_version{7}}, "s", three_homes, 100ms, account});
    };
    handlers.closed = [](session_id) {};
    handlers.malformed = [](session_id, const std::string&) {};
    handlers.statement_received = [&](session_id, const statement::statement& request) {
        served += " " + request.text;
    };
    metrics::registry registry;
    connection_guard guard{{}, registry};
    client_listener clients{handlers, session_id{1}, adapter::line_sender::client, guard};
    session_forwarder forwarding{clients, table, 1,
                                 [](const adapter::start_message&) { return operation_terms{}; },
                                 [&](session_id id, const adapter::start_message& message) {
                                     served = message.database;
                                     listener->send_start_answer(id, {});
                                 }};
    listener = &clients;
    forwarder = &forwarding;
    REQUIRE(clients.listen("127.0.0.1", listen_port));
    QTcpSocket client;
    client.connectToHost(QHostAddress::LocalHost, listen_port);
    client.write("START orders k1\r\n");
    REQUIRE(run_until([&] { return served == "orders"; }));
    CHECK(forwarding.session_count() == 0);
    CHECK(table.serves_account("s", three_homes, account, boot_now()));
    client.write("QUERY 1 READ a\r\n");
    CHECK(run_until([&] { return served.size() > 6; }));
}

// Guards against operations that reach a home without a token, also when they were sent ahead of
// an answer, and against transactions that are counted more than once.
TEST_CASE("each operation of a forwarded session waits for a token, statements inside do not")
{
    application();
    forwarding_daemon daemon;
    daemon.start();
    daemon.limited = true;
    daemon.home.received.clear();
    daemon.client.write("QUERY 1 BEGIN\r\nQUERY 2 READ a\r\nQUERY 3 COMMIT\r\nQUERY 4 READ a\r\n");
    REQUIRE(run_until([&] { return daemon.held.size() == 1; }));
    CHECK(daemon.home.received.empty());
    daemon.held[0](std::nullopt);
    REQUIRE(run_until([&] { return daemon.home.received == "QUERY 1 BEGIN\r\n"; }));
    daemon.home.answer("DONE -\r\nREADY T -\r\n");
    REQUIRE(run_until([&] { return daemon.home.received.ends_with("QUERY 2 READ a\r\n"); }));
    daemon.home.answer("ROW x\r\nDONE 7.1\r\nREADY T 1.5\r\n");
    REQUIRE(run_until([&] { return daemon.home.received.ends_with("QUERY 3 COMMIT\r\n"); }));
    CHECK(daemon.held.size() == 1);
    daemon.home.answer("DONE 7.1\r\nREADY I 1.5\r\n");
    REQUIRE(run_until([&] { return daemon.held.size() == 2; }));
    daemon.client_received.clear();
    daemon.held[1]("allowance used up; retry after 70 ms");
    REQUIRE(run_until([&] { return daemon.client_received.ends_with("READY I -\r\n"); }));
    CHECK(daemon.client_received.starts_with("ERROR BUSY allowance used up; retry after 70 ms"));
    CHECK(daemon.home.received.ends_with("QUERY 3 COMMIT\r\n"));
    // The session goes on, and what is free needs no token.
    daemon.send("QUERY 5 SET a b\r\n");
    CHECK(daemon.held.size() == 2);
}

// Guards against a held statement that gets no answer when its home is lost.
TEST_CASE("a held statement of a lost home is answered as not run")
{
    application();
    forwarding_daemon daemon;
    daemon.start();
    daemon.limited = true;
    daemon.client.write("QUERY 1 WRITE a b\r\n");
    REQUIRE(run_until([&] { return daemon.held.size() == 1; }));
    daemon.home.session->abort();
    CHECK(run_until([&] { return daemon.client_received.starts_with("ERROR BUSY"); }));
    CHECK(daemon.cancelled == 1);
    CHECK(daemon.forwarder.session_count() == 0);
    daemon.held[0](std::nullopt); // too late, and without effect
}
