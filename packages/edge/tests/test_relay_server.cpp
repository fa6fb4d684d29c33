// Tests that the daemons that pass on the store's contents survive connections that end at any
// moment. CI runs this program with the address and undefined-behaviour sanitizers as well.
#include "event_loop.h"
#include "relay_client.h"
#include "relay_server.h"

#include "gypsumstep/base/random.h"

#include <catch2/catch.hpp>

#include <QTcpServer>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace gypsumstep;
using namespace gypsumstep::edge;
using namespace gypsumstep::edge::test;

namespace {

constexpr std::uint16_t first_port = 24'700;

/// Size of the subscribers' receive buffers, in bytes: small, so that a large message is left in
/// the server's buffers.
constexpr int receive_buffer_bytes = 8 << 10;

adapter::stored_rows configuration_rows(std::uint64_t version, std::size_t routes)
{
    std::string value;
    for (std::size_t route = 0; route < routes; ++route) {
        value += std::to_string(route * version) + std::string(196, 'r');
    }
    return {{{"config", std::move(value), version, false}}, {}, {version, {}}};
}

adapter::stored_rows daemon_rows(std::uint64_t version, std::size_t daemons)
{
    adapter::stored_rows rows{{}, {}, {version, {}}};
    for (std::size_t index = 0; index < daemons; ++index) {
        const std::uint64_t row_version = index % 10 == version % 10 ? version : 1;
        rows.rows.push_back({"front-" + std::to_string(index),
                             std::to_string(row_version) + std::string(150, 'd'), row_version,
                             false});
    }
    return rows;
}

/// A subscriber below the level of Qt, so that a test decides when its connection ends.
class raw_subscriber {
public:
    explicit raw_subscriber(std::uint16_t port) : m_socket{::socket(AF_INET, SOCK_STREAM, 0)}
    {
        REQUIRE(m_socket >= 0);
        ::setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                     sizeof receive_buffer_bytes);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) ==
                0);
        (void)::fcntl(m_socket, F_SETFL, O_NONBLOCK);
    }
    ~raw_subscriber() { close(); }
    raw_subscriber(const raw_subscriber&) = delete;
    raw_subscriber& operator=(const raw_subscriber&) = delete;

    void send(const QByteArray& bytes)
    {
        (void)::send(m_socket, bytes.constData(), static_cast<std::size_t>(bytes.size()),
                     MSG_NOSIGNAL);
    }

    /// Reads at most \p limit bytes; returns them.
    QByteArray read(std::size_t limit)
    {
        QByteArray bytes{static_cast<qsizetype>(limit), '\0'};
        const ssize_t count = ::recv(m_socket, bytes.data(), limit, 0);
        bytes.truncate(std::max<ssize_t>(count, 0));
        return bytes;
    }

    void close()
    {
        if (m_socket >= 0) {
            ::close(std::exchange(m_socket, -1));
        }
    }

    /// Closes the connection with a reset, as the kernel does for a killed process with unread
    /// bytes.
    void reset()
    {
        const linger at_once{1, 0};
        ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        close();
    }

private:
    int m_socket;
};

QByteArray hello(const std::string& name)
{
    return encode_relay_message(relay_hello{{name, "a", "127.0.0.1", 7000, 120}});
}

/// A server that has read the store once.
struct reader {
    std::unique_ptr<relay_server> server;
    std::uint16_t port{first_port};
    std::size_t urgency_changes{0};

    reader()
    {
        application();
        server = std::make_unique<relay_server>(
            relay_server_events{[this] {
                                    ++urgency_changes;
                                    (void)server->server_listing_urgency();
                                },
                                [] { return relay_status{}; }});
        while (!server->listen("127.0.0.1", port)) {
            ++port;
        }
        server->publish(store_subject::configuration, configuration_rows(1, 3000), true);
        server->publish(store_subject::servers, daemon_rows(1, 30), true);
        server->publish(store_subject::daemons, daemon_rows(1, 300), true);
    }
};

void run_events(int rounds)
{
    for (int round = 0; round < rounds; ++round) {
        QCoreApplication::processEvents(QEventLoop::AllEvents, 1);
    }
}

} // namespace

// The crash on large fleets: a reader that was busy sending a large configuration found the hello
// of a subscriber that had given up meanwhile. The first write was answered with a reset, the
// second one failed and ended the subscription, and the third used it.
TEST_CASE("a subscriber that is gone before its hello is answered is dropped")
{
    reader here;
    for (const bool with_reset : {false, true}) {
        for (int round = 0; round < 20; ++round) {
            raw_subscriber gone{here.port};
            gone.send(hello("gone"));
            if (round % 2 == 0) {
                run_events(3);
                gone.send(encode_relay_message(relay_urgency{proxy::listing_urgency::urgent}));
            }
            if (with_reset) {
                gone.reset();
            }
            else {
                gone.close();
            }
            run_events(5);
        }
    }
    CHECK(run_until([&] { return here.server->subscribers().empty(); }));
    raw_subscriber other{here.port};
    other.send(hello("other"));
    CHECK(run_until([&] { return here.server->subscribers().size() == 1; }));
}

// Load of a large fleet: many subscribers that connect, stop reading and vanish at any moment while
// large configurations and lists are published.
TEST_CASE("a reader survives subscribers that come and go while it publishes")
{
    const std::uint64_t seed = GENERATE(1U, 2U, 3U);
    CAPTURE(seed);
    reader here;
    random_source random{seed};
    std::vector<std::unique_ptr<raw_subscriber>> subscribers;
    constexpr std::size_t max_subscribers = 60;
    constexpr std::uint64_t steps = 600;
    for (std::uint64_t step = 2; step < steps; ++step) {
        if (subscribers.size() < max_subscribers) {
            subscribers.push_back(std::make_unique<raw_subscriber>(here.port));
            const QByteArray bytes = hello("s" + std::to_string(step));
            subscribers.back()->send(random.chance(0.1) ? bytes.left(9) : bytes);
        }
        const std::size_t place = random.below(subscribers.size());
        raw_subscriber& chosen = *subscribers.at(place);
        switch (random.below(5)) {
        case 0:
            chosen.send(encode_relay_message(
                relay_urgency{static_cast<proxy::listing_urgency>(random.below(4))}));
            break;
        case 1:
            chosen.reset();
            break;
        case 2:
            chosen.close();
            break;
        default:
            (void)chosen.read(256U << 10U);
            continue;
        }
        if (random.chance(0.5)) {
            subscribers.erase(subscribers.begin() + static_cast<std::ptrdiff_t>(place));
        }
        if (random.chance(0.05)) {
            here.server->publish(store_subject::configuration, configuration_rows(step, 3000),
                                 true);
        }
        here.server->publish(store_subject::daemons, daemon_rows(step, 300), random.chance(0.3));
        here.server->publish(store_subject::servers, daemon_rows(step, 30), random.chance(0.2));
        if (random.chance(0.7)) {
            run_events(1);
        }
    }
    subscribers.clear();
    CHECK(run_until([&] { return here.server->subscribers().empty(); }));
    raw_subscriber other{here.port};
    other.send(hello("other"));
    CHECK(run_until([&] { return here.server->subscribers().size() == 1; }));
}

// A subscriber whose reader ends during the first messages turns to another one at once, from
// within the failed write.
TEST_CASE("a subscriber survives readers that end at any moment")
{
    application();
    std::vector<std::unique_ptr<QTcpServer>> readers;
    std::vector<homes::daemon_entry> entries;
    for (std::uint16_t index = 0; index < 2; ++index) {
        readers.push_back(std::make_unique<QTcpServer>());
        REQUIRE(readers.back()->listen(QHostAddress::LocalHost));
        entries.push_back({"r" + std::to_string(index), "a", "127.0.0.1", 1, 100});
    }
    std::size_t lost = 0;
    std::unique_ptr<relay_client> client;
    const auto subscribe_to = [&](std::size_t index) {
        client->subscribe(entries.at(index), readers.at(index)->serverPort());
    };
    client = std::make_unique<relay_client>(
        homes::daemon_entry{"self", "a", "127.0.0.1", 1, 100},
        relay_client_events{[](const std::string&, const relay_message&) {},
                            [&](const std::string& reader) {
                                ++lost;
                                if (lost % 3 != 0) {
                                    subscribe_to(reader == "r0" ? 1 : 0);
                                }
                            }});
    int round = 0;
    CHECK(run_until([&] {
        ++round;
        if (!client->reader()) {
            subscribe_to(static_cast<std::size_t>(round % 2));
        }
        client->set_urgency(static_cast<proxy::listing_urgency>(round % 4));
        for (const auto& reader : readers) {
            while (QTcpSocket* const socket = reader->nextPendingConnection()) {
                socket->abort();
                socket->deleteLater();
            }
        }
        client->set_urgency(static_cast<proxy::listing_urgency>((round + 1) % 4));
        return lost >= 200;
    }));
}
