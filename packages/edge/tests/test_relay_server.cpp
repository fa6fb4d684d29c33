// Tests that the daemons that pass on the store's contents survive connections that end at any
// moment. CI runs this program with the address and undefined-behaviour sanitizers as well.
#include "event_loop.h"
#include "relay_client.h"
#include "relay_server.h"

#include "gypsumstep/base/random.h"
#include "gypsumstep/relay/reader_order.h"

#include <catch2/catch.hpp>

#include <QTcpServer>

#include <algorithm>
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
        const bool is_changed = route % 1000 == version % 1000;
        value += '{' + std::to_string(route) + std::string(196, is_changed ? 's' : 'r') + '}';
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
    return encode_relay_message(relay_hello{{name, "a", "127.0.0.1", 7000, 120}, row_digests{}});
}

/// A server that has read the store once.
struct reader {
    metrics::registry registry;
    connection_guard guard{{}, registry};
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
                                [] { return relay_status{}; }},
            guard);
        while (!server->listen("127.0.0.1", port)) {
            ++port;
        }
        server->publish(store_subject::configuration, configuration_rows(1, 3000), true);
        server->publish(store_subject::servers, daemon_rows(1, 30), true);
        server->publish(store_subject::daemons, daemon_rows(1, 300), true);
    }
};

/// Rows of 300 daemons, of which one was announced again.
adapter::stored_rows with_one_change(adapter::stored_rows rows, std::uint64_t version)
{
    rows.rows.at(version % rows.rows.size()).value += "again";
    rows.moment.version = version;
    return rows;
}

/// A daemon that takes the store's contents from others, and what it has of them.
struct follower {
    std::map<store_subject, adapter::stored_rows> rows;
    std::size_t whole_sets{0}; ///< messages with rows
    std::size_t lost{0};
    relay_client client{
        homes::daemon_entry{"follower", "a", "127.0.0.1", 1, 100},
        relay_client_events{
            [this](const std::string&, const relay_message& message) { on_message(message); },
            [this](const std::string&) { ++lost; }}};

    void on_message(const relay_message& message)
    {
        if (const auto* read = std::get_if<relay_rows>(&message)) {
            ++whole_sets;
            rows[read->subject] = read->rows;
        }
        else if (const auto* again = std::get_if<relay_unchanged>(&message)) {
            rows[again->subject].moment = again->moment;
        }
    }

    [[nodiscard]] bool has(store_subject subject, const adapter::stored_rows& expected) const
    {
        const auto found = rows.find(subject);
        return found != rows.end() && found->second.moment == expected.moment &&
               digest_of(found->second.rows) == digest_of(expected.rows);
    }
};

const homes::daemon_entry reader_entry{"reader", "a", "127.0.0.1", 1, 100};

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

// Traffic of large fleets: each change of one row sent all rows to each subscriber, so that a
// reader's bytes grew with the square of the number of daemons.
TEST_CASE("a subscriber that has the other rows gets the changed ones only")
{
    reader here;
    raw_subscriber subscriber{here.port};
    subscriber.send(hello("s"));
    REQUIRE(run_until([&] { return here.server->subscribers().size() == 1; }));
    qsizetype first = 0;
    adapter::stored_rows rows = daemon_rows(1, 300);
    const auto read_all = [&] {
        qsizetype size = 0;
        for (int round = 0; round < 50; ++round) {
            run_events(1);
            size += subscriber.read(1U << 20U).size();
        }
        return size;
    };
    REQUIRE(run_until([&] { return (first += read_all()) > 2000; }));
    (void)read_all();
    for (std::uint64_t version = 2; version < 6; ++version) {
        rows = with_one_change(rows, version);
        here.server->publish(store_subject::daemons, rows, true);
        CHECK(read_all() < 600); // a row of some 160 bytes, and perhaps a status
        here.server->publish(store_subject::configuration, configuration_rows(version, 3000), true);
        CHECK(read_all() < 4000); // of 600 KB: six routes of 200 bytes, and what lies between them
    }
}

TEST_CASE("changes reach a subscriber, and a new subscription transfers only what it lacks")
{
    reader first;
    reader second;
    follower daemon;
    adapter::stored_rows rows = daemon_rows(1, 300);
    daemon.client.subscribe(reader_entry, first.port);
    REQUIRE(run_until([&] {
        return daemon.has(store_subject::daemons, rows) &&
               daemon.has(store_subject::configuration, configuration_rows(1, 3000));
    }));
    daemon.client.set_urgency(proxy::listing_urgency::normal);
    CHECK(run_until([&] { return daemon.has(store_subject::servers, daemon_rows(1, 30)); }));
    for (std::uint64_t version = 2; version < 8; ++version) {
        rows = with_one_change(rows, version);
        rows.rows.erase(rows.rows.begin() + static_cast<std::ptrdiff_t>(version * 7));
        rows.rows.push_back({"new-" + std::to_string(version), "value", version, false});
        first.server->publish(store_subject::daemons, rows, true);
        rows.moment.version += 100;
        first.server->publish(store_subject::daemons, rows, false);
        first.server->publish(store_subject::configuration, configuration_rows(version, 3000),
                              true);
    }
    CHECK(run_until([&] { return daemon.has(store_subject::daemons, rows); }));
    CHECK(run_until(
        [&] { return daemon.has(store_subject::configuration, configuration_rows(7, 3000)); }));
    CHECK(daemon.lost == 0);

    // The second reader has the same configuration, another list of daemons, and no newer one.
    rows = with_one_change(rows, 900);
    second.server->publish(store_subject::daemons, rows, true);
    second.server->publish(store_subject::configuration, configuration_rows(7, 3000), true);
    daemon.client.subscribe(reader_entry, second.port);
    CHECK(run_until([&] { return daemon.has(store_subject::daemons, rows); }));
    CHECK(daemon.has(store_subject::configuration, configuration_rows(7, 3000)));
    CHECK(daemon.lost == 0);
}

// A day's configurations differ in few routes.
TEST_CASE("edits between two texts turn the first into the second, and are short")
{
    random_source random{2};
    const auto text_of = [&](std::size_t objects, std::uint64_t kinds) {
        std::string text = "[";
        for (std::size_t index = 0; index < objects; ++index) {
            text += "{" + std::to_string(random.below(kinds)) + "},";
        }
        return text + "]";
    };
    for (int round = 0; round < 200; ++round) {
        const std::string from = text_of(random.below(20), 5);
        const std::string to = text_of(random.below(20), 5);
        CHECK(apply_edits(from, edits_between(from, to)) == to);
        CHECK(apply_edits("", edits_between("", to)) == to);
    }
    const std::string from = text_of(3000, 1U << 30U);
    std::string to = from;
    const std::size_t erased = to.find('{', 1000);
    to.erase(erased, to.find('}', erased) + 1 - erased);
    to.insert(to.find('{', 20'000), "{added},");
    CHECK(apply_edits(from, edits_between(from, to)) == to);
    CHECK(size_of(edits_between(from, to)) < 200);
    CHECK_FALSE(apply_edits("abc", {{2, 2, ""}}).has_value());
    CHECK_FALSE(apply_edits("abc", {{4, 0, ""}}).has_value());
}

// A list that lacks a change must never be taken for the newest one.
TEST_CASE("a subscriber that misses a change leaves its reader and gets the whole set again")
{
    application();
    QTcpServer odd;
    REQUIRE(odd.listen(QHostAddress::LocalHost));
    follower daemon;
    daemon.client.subscribe(reader_entry, odd.serverPort());
    QTcpSocket* socket = nullptr;
    REQUIRE(run_until([&] {
        socket = socket == nullptr ? odd.nextPendingConnection() : socket;
        return socket != nullptr;
    }));
    const adapter::stored_rows rows = daemon_rows(1, 10);
    socket->write(encode_relay_message(relay_rows{store_subject::daemons, rows}));
    REQUIRE(run_until([&] { return daemon.has(store_subject::daemons, rows); }));
    SECTION("with another base")
    {
        socket->write(encode_relay_message(
            relay_changes{store_subject::daemons, {2, {}}, {3, {}}, {{}, {}, {"front-1"}}, 1}));
    }
    SECTION("of a subject that was not sent")
    {
        socket->write(encode_relay_message(
            relay_changes{store_subject::servers, {1, {}}, {3, {}}, {{}, {}, {"front-1"}}, 1}));
    }
    SECTION("with edits of other rows")
    {
        socket->write(
            encode_relay_message(relay_changes{store_subject::daemons,
                                               {1, {}},
                                               {3, {}},
                                               {{}, {{"front-1", 2, {{9999, 1, ""}}}}, {}},
                                               1}));
    }
    SECTION("with another result")
    {
        socket->write(encode_relay_message(
            relay_changes{store_subject::daemons, {1, {}}, {3, {}}, {{}, {}, {"front-1"}}, 1}));
    }
    SECTION("unchanged rows that it does not have")
    {
        socket->write(encode_relay_message(relay_unchanged{store_subject::servers, {3, {}}}));
    }
    CHECK(run_until([&] { return daemon.lost == 1; }));
    CHECK(daemon.has(store_subject::daemons, rows));
    reader here;
    daemon.client.subscribe(reader_entry, here.port);
    CHECK(run_until([&] { return daemon.has(store_subject::daemons, daemon_rows(1, 300)); }));
}

TEST_CASE("a reader serves a limited number of subscribers")
{
    reader here;
    std::vector<std::unique_ptr<raw_subscriber>> subscribers;
    for (std::size_t index = 0; index < 3 * relay::daemons_per_reader; ++index) {
        subscribers.push_back(std::make_unique<raw_subscriber>(here.port));
        subscribers.back()->send(hello("s" + std::to_string(index)));
        run_events(1);
    }
    constexpr std::size_t limit = 2 * relay::daemons_per_reader;
    CHECK(run_until([&] { return here.server->subscribers().size() == limit; }));
    run_events(20);
    CHECK(here.server->subscribers().size() == limit);
    subscribers.resize(relay::daemons_per_reader);
    CHECK(
        run_until([&] { return here.server->subscribers().size() == relay::daemons_per_reader; }));
}

TEST_CASE("changes between two readings turn the first into the second")
{
    random_source random{1};
    for (int round = 0; round < 200; ++round) {
        std::vector<adapter::stored_row> from;
        std::vector<adapter::stored_row> to;
        for (int key = 0; key < 8; ++key) {
            const std::string name(1, static_cast<char>('a' + key));
            if (random.chance(0.7)) {
                from.push_back({name, "value", random.below(3), false});
            }
            if (random.chance(0.7)) {
                to.push_back({name, "value", random.below(3), false});
            }
        }
        CHECK((digest_of(from) == digest_of(to)) == (from == to));
        auto rows = from;
        CHECK(apply_changes(rows, changes_between(from, to)));
        CHECK(rows == to);
        std::reverse(rows.begin(), rows.end());
        CHECK(digest_of(rows) == digest_of(to));
    }
}
