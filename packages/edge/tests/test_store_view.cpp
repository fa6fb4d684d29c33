// Tests of following the store against its stand-in: odd entries beside good ones, and daemons
// that take its contents from others.
#include "event_loop.h"
#include "store_view.h"

#include "gypsumstep/adapter/store_documents.h"

#include "boot_clock.h"
#include "settings_standin.h"
#include "store_standin.h"

#include <catch2/catch.hpp>

#include <QTcpServer>

using namespace gypsumstep;
using namespace gypsumstep::edge;
using namespace gypsumstep::edge::test;
using namespace gypsumstep::adapter::standins;

namespace {

/// Returns the first of three free ports in a row.
std::uint16_t free_ports()
{
    static std::uint16_t next = 23'000;
    for (;; next = static_cast<std::uint16_t>(next + 3)) {
        QTcpServer first;
        QTcpServer second;
        if (first.listen(QHostAddress::LocalHost, next) &&
            second.listen(QHostAddress::LocalHost, static_cast<quint16>(next + 1))) {
            const std::uint16_t found = next;
            next = static_cast<std::uint16_t>(next + 3);
            return found;
        }
    }
}

std::string registration(bool draining)
{
    return registration_text("127.0.0.1:5000", "5", draining);
}

/// A daemon's view of the store.
struct daemon {
    adapter::node_settings settings;
    store_clock clock;
    store_era era;
    std::vector<directory::configuration> configurations;
    std::vector<std::vector<directory::server_entry>> lists;
    std::size_t daemon_lists{0};
    proxy::listing_urgency urgency{proxy::listing_urgency::urgent};
    metrics::registry registry;
    connection_guard guard{{}, registry};
    std::unique_ptr<store_view> view;

    daemon(const std::string& name, std::uint16_t store_port, std::uint32_t capacity)
    {
        settings.name = name;
        settings.domain = "a";
        settings.clients = {"127.0.0.1", 1};
        settings.forwarding_port = free_ports();
        settings.relay_port = static_cast<std::uint16_t>(settings.forwarding_port + 1);
        settings.capacity = capacity;
        settings.store = {"127.0.0.1", store_port};
    }

    [[nodiscard]] homes::announcement announcement(promotion::store_time now) const
    {
        return {{settings.name, "a", "127.0.0.1", settings.forwarding_port, settings.capacity},
                now};
    }

    void start()
    {
        view = std::make_unique<store_view>(
            settings, clock, era, 1, guard,
            store_events{
                [this](directory::configuration next) {
                    configurations.push_back(std::move(next));
                },
                [this](const std::vector<directory::server_entry>& servers) {
                    lists.push_back(servers);
                },
                [this](const std::vector<homes::announcement>& /*listed*/,
                       const std::vector<homes::announcement>& /*carried*/) { ++daemon_lists; },
                [this] { return urgency; },
            });
        REQUIRE(view->start());
    }

    [[nodiscard]] bool knows(std::uint64_t version) const
    {
        return !configurations.empty() && configurations.back().version == config_version{version};
    }
};

/// A store, and daemons of one failure domain of which the first two read the store.
struct site {
    store_standin store{[](const promotion_order&) { return true; }, [](const std::string&) {}};
    std::uint16_t store_port{0};
    std::vector<std::unique_ptr<daemon>> daemons;

    explicit site(std::size_t count)
    {
        application();
        store_port = store.listen();
        store.put(server_table, "good", registration(false));
        configure(1);
        for (std::size_t index = 0; index < count; ++index) {
            daemons.push_back(
                std::make_unique<daemon>("d" + std::to_string(index), store_port,
                                         static_cast<std::uint32_t>(500 - 10 * index)));
            // Announced an hour ahead of the store's clock, so that no announcement expires.
            const auto announced = daemons.back()->announcement(std::chrono::hours{1});
            store.put(daemon_table, announced.daemon.name, adapter::encode_announcement(announced));
        }
    }

    void configure(std::uint64_t version)
    {
        store.put(operator_table, configuration_key,
                  configuration_text(version, "ledger", {{"orders", primary_route}}, 1500, 1000));
    }

    template <class Done>
    bool run(Done&& done)
    {
        return run_until([&] {
            for (const auto& member : daemons) {
                if (member->view) {
                    member->view->on_tick(boot_now());
                }
            }
            return done();
        });
    }

    daemon& operator[](std::size_t index) { return *daemons.at(index); }
};

} // namespace

TEST_CASE("the list of servers is followed past odd entries")
{
    site here{1};
    for (const auto& [key, value] : odd_server_rows()) {
        here.store.put(server_table, key, value);
    }
    for (const auto& [key, value] : odd_daemon_rows()) {
        here.store.put(daemon_table, key, value);
    }
    here[0].start();
    REQUIRE(here.run([&] { return !here[0].lists.empty() && here[0].knows(1); }));
    REQUIRE(here[0].lists.back().size() == 1);
    CHECK(here[0].lists.back()[0].name == "good");

    here.store.put(server_table, "good", registration(true));
    CHECK(here.run(
        [&] { return here[0].lists.back().size() == 1 && here[0].lists.back()[0].draining; }));
}

TEST_CASE("a daemon takes the store's contents from its domain's reader")
{
    site here{6};
    here[0].start();
    here[5].start();
    REQUIRE(here.run([&] { return here[5].knows(1) && !here[5].lists.empty(); }));
    CHECK(here[0].view->reads_store());
    CHECK_FALSE(here[5].view->reads_store());
    CHECK(here[5].lists.back().size() == 1);
    REQUIRE(here[0].view->subscribers().size() == 1);
    CHECK(here[0].view->subscribers()[0].name == "d5");

    // Changes arrive, a configuration at once.
    here.configure(2);
    CHECK(here.run([&] { return here[5].knows(2); }));
    here.store.put(server_table, "good", registration(true));
    CHECK(here.run([&] { return here[5].lists.back()[0].draining; }));
    // Readings without a change arrive, too: they show how long a server is missing.
    const std::size_t lists = here[5].lists.size();
    CHECK(here.run([&] { return here[5].lists.size() >= lists + 2; }));
}

TEST_CASE("a daemon that needs no registrations gets none, and gets them when it asks")
{
    site here{6};
    here[5].urgency = proxy::listing_urgency::none;
    here[0].start();
    here[5].start();
    REQUIRE(here.run([&] { return here[5].knows(1); }));
    REQUIRE(here.run([&] { return here[0].lists.size() >= 3; }));
    CHECK(here[5].lists.empty());
    here[5].view->read_servers_now();
    CHECK(here.run([&] { return !here[5].lists.empty(); }));
}

TEST_CASE("a daemon whose reader is lost goes on with the next one, or with the store")
{
    site here{6};
    for (const std::size_t index : {0U, 1U, 5U}) {
        here[index].start();
    }
    REQUIRE(here.run([&] { return here[5].knows(1) && here[0].view->subscribers().size() == 1; }));
    here[0].view.reset();
    here.configure(2);
    CHECK(here.run([&] { return here[5].knows(2); }));
    CHECK_FALSE(here[5].view->reads_store());
    here[1].view.reset();
    here.configure(3);
    CHECK(here.run([&] { return here[5].knows(3); }));
    CHECK(here[5].view->reads_store());
}

// CONFIG: a connection that went silent hid configurations until the feed's call timed out after
// half a minute. run() waits for 5 s, after which a daemon has to know what the store holds.
TEST_CASE("a configuration is known soon after the connections to the store went silent")
{
    site here{6};
    here[0].start();
    here[5].start();
    REQUIRE(here.run([&] { return here[0].knows(1) && here[5].knows(1); }));
    REQUIRE_FALSE(here[5].view->reads_store());
    here.store.silence_open_connections();
    here.configure(2);
    CHECK(here.run([&] { return here[0].knows(2) && here[5].knows(2); }));
}

// RECOVER: a daemon that had started while the store was away stayed out of service for good if a
// SIGHUP, or a session of another daemon, had it read the configuration first at the store's
// return.
TEST_CASE(
    "a daemon that starts without the store reads the list of daemons whatever it reads first")
{
    for (const std::size_t count : {1U, 6U}) {
        site here{count};
        here.store.set_trouble(store_trouble::refusing);
        here[0].start();
        const time_point return_at = boot_now() + 300ms;
        REQUIRE(here.run([&] { return boot_now() >= return_at; }));
        here.store.set_trouble(store_trouble::none);
        here[0].view->reload();
        CHECK(here.run([&] { return here[0].daemon_lists > 0; }));
        CHECK(here.run([&] { return here[0].knows(1) && !here[0].lists.empty(); }));
    }
}

// CONFIG: a daemon that is told the store's contents by another has no call of its own that shows
// the store's era.
TEST_CASE("a daemon behind a reader follows the store back, and keeps the newest configuration")
{
    site here{6};
    here.store.set_era(4);
    here[0].start();
    here[5].start();
    REQUIRE(here.run([&] { return here[5].knows(1) && here[5].era.current() == 4; }));
    REQUIRE_FALSE(here[5].view->reads_store());
    here.store.take_copy();
    here.configure(2);
    here.configure(3);
    REQUIRE(here.run([&] { return here[5].knows(3); }));
    here.store.go_back();
    REQUIRE(here.run([&] { return here[5].era.current() == 5; }));
    CHECK(here[5].era.rollbacks() == 1);
    // A daemon that starts now gets the newest configuration from the reader, not the copy's.
    here[4].start();
    CHECK(here.run([&] { return here[4].knows(3); }));
    CHECK(here[5].knows(3));
    here.configure(4);
    CHECK(here.run([&] { return here[5].knows(4) && here[4].knows(4); }));
}

TEST_CASE("a reader that shuts down is left before it ends")
{
    site here{6};
    for (const std::size_t index : {0U, 1U, 5U}) {
        here[index].start();
    }
    REQUIRE(here.run([&] { return here[0].view->subscribers().size() == 1; }));
    here[0].view->begin_shutdown();
    CHECK(here.run([&] { return here[1].view->subscribers().size() == 1; }));
}

TEST_CASE("the same messages come out of the decoder that were encoded, in any pieces")
{
    std::vector<relay_message> messages{
        relay_hello{{"d1", "a", "10.0.0.1", 7441, 120}, std::nullopt},
        relay_hello{{"d1", "a", "10.0.0.1", 7441, 120}, row_digests{0, 1, INT64_MAX}},
        relay_urgency{proxy::listing_urgency::soon},
        relay_status{1500ms, promotion::store_time{99}, 3, 2500ms},
        relay_rows{store_subject::servers,
                   {{{"i-1", std::string{"\x00\xff{", 3}, 7, false}},
                    {},
                    {9, promotion::store_time{5}, 3}}},
        relay_unchanged{store_subject::daemons, {10, promotion::store_time{6}, 3}},
        relay_changes{
            store_subject::daemons,
            {10, promotion::store_time{6}, 3},
            {12, promotion::store_time{7}, 4},
            {{{"d2", "new", 12, false}}, {{"d3", 11, {{0, 9, ""}, {4, 0, "x"}}}}, {"d1", ""}},
            77},
    };
    QByteArray bytes;
    for (const relay_message& message : messages) {
        bytes += encode_relay_message(message);
    }
    messages.emplace_back(relay_rows{store_subject::daemons,
                                     {{{"i-1", std::string(10'000, 'x'), 7, false}}, {}, {9, {}}}});
    bytes += encode_compressed(messages.back());
    for (const qsizetype piece : {qsizetype{1}, qsizetype{7}, bytes.size()}) {
        relay_decoder decoder;
        std::vector<relay_message> decoded;
        for (qsizetype place = 0; place < bytes.size(); place += piece) {
            decoder.feed(bytes.mid(place, piece));
            for (auto next = decoder.next(); next.value(); next = decoder.next()) {
                decoded.push_back(*next.value());
            }
        }
        CHECK(decoded == messages);
    }
}

TEST_CASE("malformed bytes of another daemon cost its connection and nothing else")
{
    const auto is_refused = [](const QByteArray& bytes) {
        relay_decoder decoder;
        decoder.feed(bytes);
        return decoder.next().has_error();
    };
    CHECK(is_refused(QByteArray::fromHex("ffffffff")));
    CHECK(is_refused(QByteArray::fromHex("0000000101")));
    CHECK(is_refused(QByteArray::fromHex("000000028109"))); // an unknown kind
    CHECK(is_refused(QByteArray::fromHex("00000000")));
    // A compressed message of another size than stated.
    const QByteArray large = encode_compressed(relay_rows{
        store_subject::daemons, {{{"key", std::string(10'000, 'x'), 1, false}}, {}, {}}});
    REQUIRE(large.size() < 1000);
    CHECK_FALSE(is_refused(large));
    QByteArray other_size = large;
    other_size[8] = static_cast<char>(other_size.at(8) + 1);
    CHECK(is_refused(other_size));
    QByteArray nested = QByteArray::fromHex("0000c350") + QByteArray(50'000, '\x81');
    CHECK(is_refused(nested));

    site here{6};
    here[0].start();
    QTcpSocket odd;
    odd.connectToHost(QHostAddress::LocalHost, here[0].settings.relay_port);
    REQUIRE(here.run([&] { return odd.state() == QAbstractSocket::ConnectedState; }));
    odd.write(nested);
    CHECK(here.run([&] { return odd.state() == QAbstractSocket::UnconnectedState; }));
    here[5].start();
    CHECK(here.run([&] { return here[5].knows(1); }));
}
