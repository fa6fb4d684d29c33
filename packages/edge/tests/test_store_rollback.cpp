// Tests of a store that goes back to an earlier copy of its contents, against its stand-in.
#include "daemon_roster.h"
#include "event_loop.h"
#include "http_client.h"
#include "promotion_executor.h"
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

std::uint16_t free_port()
{
    static std::uint16_t next = 24'000;
    for (;; next = static_cast<std::uint16_t>(next + 3)) {
        QTcpServer probe;
        if (probe.listen(QHostAddress::LocalHost, next)) {
            const std::uint16_t found = next;
            next = static_cast<std::uint16_t>(next + 3);
            return found;
        }
    }
}

/// A store that tells its era, and one daemon's parts that use it.
struct drill {
    QCoreApplication& event_loop{application()}; ///< first, since the store starts a timer
    store_standin store{[](const promotion_order&) { return true; }, [](const std::string&) {}};
    adapter::node_settings settings;
    store_clock clock;
    store_era era;
    std::vector<std::uint64_t> configurations; ///< versions, in the order in which they were read
    std::vector<directory::server_entry> servers;
    std::size_t server_lists{0};
    std::vector<homes::announcement> listed;
    std::vector<homes::announcement> carried;
    metrics::registry registry;
    connection_guard guard{{}, registry};
    std::unique_ptr<store_view> view;

    drill()
    {
        settings.name = "d0";
        settings.old_primary_stops = true;
        settings.domain = "a";
        settings.clients = {"127.0.0.1", 1};
        settings.forwarding_port = free_port();
        settings.store = {"127.0.0.1", store.listen()};
        settings.platform_api = settings.store;
        store.set_era(7);
        configure(1);
    }

    void configure(std::uint64_t version)
    {
        store.put(operator_table, configuration_key,
                  configuration_text(version, "ledger", {{"orders", primary_route}}, 1500, 1000));
    }

    void start()
    {
        view = std::make_unique<store_view>(
            settings, clock, era, 1, guard,
            store_events{
                [this](const directory::configuration& next) {
                    configurations.push_back(next.version.value());
                },
                [this](const std::vector<directory::server_entry>& read) {
                    servers = read;
                    ++server_lists;
                },
                [this](const std::vector<homes::announcement>& now_listed,
                       const std::vector<homes::announcement>& now_carried) {
                    listed = now_listed;
                    carried = now_carried;
                },
                [] { return proxy::listing_urgency::urgent; },
            });
        REQUIRE(view->start());
    }

    template <class Done>
    bool run(Done&& done)
    {
        return run_until([&] {
            if (view) {
                view->on_tick(boot_now());
            }
            return done();
        });
    }

    [[nodiscard]] std::uint64_t newest() const
    {
        return configurations.empty() ? 0 : configurations.back();
    }
};

/// Returns the value of the claim's row of a group, as another daemon reads it.
promotion::shared_state read_claim(drill& here, const std::string& service)
{
    http_client reader{"127.0.0.1", here.settings.store.port};
    std::optional<promotion::shared_state> state;
    reader.call(adapter::read_promotion(service), 2s, [&](const auto& response) {
        std::vector<std::string> malformed;
        state = adapter::decode_promotion(response.value(), malformed).value();
    });
    REQUIRE(run_until([&] { return state.has_value(); }));
    return *state;
}

} // namespace

// CONFIG: versions that were issued again hid the operator's next configuration for over 4 s.
TEST_CASE("after the store went back, the operator's next configuration is put in force at once")
{
    drill here;
    here.start();
    REQUIRE(here.run([&] { return here.newest() == 1 && here.server_lists > 0; }));
    here.store.take_copy();
    for (const std::uint64_t version : {2U, 3U}) {
        here.configure(version);
    }
    REQUIRE(here.run([&] { return here.newest() == 3; }));
    here.store.go_back();
    REQUIRE(here.run([&] { return here.era.current() == 8; }));
    const std::size_t lists = here.server_lists;
    REQUIRE(here.run([&] { return here.server_lists > lists; }));
    // The copy's configuration is older than the one in force.
    CHECK(here.newest() == 3);
    here.configure(4);
    CHECK(here.run([&] { return here.newest() == 4; }));
    CHECK(std::is_sorted(here.configurations.begin(), here.configurations.end()));
    CHECK(here.era.rollbacks() == 1);
}

// CONFIG: a feed's position that the store does not have must not be asked for again and again.
TEST_CASE("a store that goes back without telling its era is read in full after status 410")
{
    drill here;
    here.store.set_era(0);
    here.start();
    here.configure(2);
    REQUIRE(here.run([&] { return here.newest() == 2; }));
    here.store.take_copy();
    here.configure(3);
    REQUIRE(here.run([&] { return here.newest() == 3; }));
    here.store.go_back();
    here.store.set_era(0);
    for (int write = 0; write < 4; ++write) {
        here.store.put(server_table, "x", "");
    }
    here.configure(4);
    CHECK(here.run([&] { return here.newest() == 4; }));
    CHECK(here.era.rollbacks() == 0);
}

// ONE, LOST: a copy from before a promotion names the former primary, whose return would be
// answered by another promotion.
TEST_CASE("registrations of the copy do not replace newer ones until they are written again")
{
    drill here;
    const std::string draining = registration_text("127.0.0.1:5000", "5", true);
    here.store.put(server_table, "old", registration_text("127.0.0.1:5001", "5", false));
    here.store.put(server_table, "good", registration_text("127.0.0.1:5000", "5", false));
    here.start();
    REQUIRE(here.run([&] { return here.servers.size() == 2; }));
    here.store.take_copy();
    here.store.remove(server_table, "old");
    here.store.put(server_table, "good", draining);
    here.store.put(server_table, "new", registration_text("127.0.0.1:5002", "5", false));
    REQUIRE(here.run([&] { return here.servers.size() == 2 && here.servers[0].draining; }));
    here.store.go_back();
    REQUIRE(here.run([&] { return here.era.rollbacks() == 1; }));
    const std::size_t lists = here.server_lists;
    REQUIRE(here.run([&] { return here.server_lists > lists; }));
    REQUIRE(here.servers.size() == 2);
    for (const directory::server_entry& server : here.servers) {
        CHECK(server.name != "old");
        CHECK(server.draining == (server.name == "good"));
    }
    // Once written again, a row counts; the others count after the time to write them.
    here.store.put(server_table, "good", registration_text("127.0.0.1:5000", "6", false));
    CHECK(here.run([&] {
        return std::any_of(here.servers.begin(), here.servers.end(),
                           [](const auto& server) { return server.slots == 6; });
    }));
    CHECK(here.run([&] {
        return here.servers.size() == 2 && here.servers[0].name == "good" &&
               here.servers[1].name == "old";
    }));
}

// ONE: a conditional write that waits behind the answer with the new era would be checked against
// versions that mean something else now.
TEST_CASE("a call that was queued in an earlier era is not sent")
{
    drill here;
    http_client other{"127.0.0.1", here.settings.store.port, &here.era};
    http_client client{"127.0.0.1", here.settings.store.port, &here.era};
    here.era.add_listener([&](dropped_state& dropped) { dropped.calls += client.cancel(); });
    std::size_t answered = 0;
    client.call(adapter::read_configuration(), 2s, [&](const auto&) { ++answered; });
    REQUIRE(here.run([&] { return answered == 1; }));
    here.store.take_copy();
    here.store.go_back();
    // The client notices that its connection was closed.
    const time_point closed_by = boot_now() + 100ms;
    REQUIRE(here.run([&] { return boot_now() >= closed_by; }));
    client.call(adapter::read_configuration(), 2s, [&](const auto&) { ++answered; });
    const homes::announcement announcement{{"d9", "a", "127.0.0.1", 5, 250}, {}};
    client.call(adapter::write_announcements({announcement}), 2s, [&](const auto&) { ++answered; });
    REQUIRE(here.run([&] { return here.era.rollbacks() == 1; }));
    CHECK(client.pending() == 0);
    bool read = false;
    other.call(adapter::read_announcements({}), 2s, [&](const auto& response) {
        read = true;
        const auto rows = adapter::decode_rows(response.value());
        CHECK(rows.value().rows.empty());
    });
    REQUIRE(here.run([&] { return read; }));
    CHECK(answered == 1);
}

TEST_CASE("an answer of an earlier era is thrown away, and one without an era is served")
{
    drill here;
    http_client client{"127.0.0.1", here.settings.store.port, &here.era};
    std::vector<bool> succeeded;
    const auto call = [&](std::uint64_t era) {
        here.store.set_era(era);
        const std::size_t before = succeeded.size();
        client.call(adapter::read_configuration(), 2s,
                    [&](const auto& response) { succeeded.push_back(response.has_value()); });
        REQUIRE(here.run([&] { return succeeded.size() > before; }));
    };
    call(7);
    call(6);
    call(0);
    CHECK(succeeded == std::vector<bool>{true, false, true});
    CHECK(here.era.late_answers() == 1);
    CHECK(here.era.current() == 7);
}

TEST_CASE("a daemon announces itself again within two seconds after the store went back")
{
    drill here;
    daemon_roster roster{
        here.settings,
        here.clock,
        here.era,
        3,
        {[] {}, [] { return std::vector<homes::daemon_entry>{}; }, [] { return false; }, [] {}}};
    here.start();
    REQUIRE(here.run([&] { return here.clock.known(); }));
    here.store.take_copy();
    roster.on_list({}, {});
    REQUIRE(here.run([&] { return here.listed.size() == 1; }));
    here.store.go_back();
    REQUIRE(here.run([&] { return here.era.rollbacks() == 1; }));
    // Until then, the announcement of the era before counts.
    REQUIRE(here.run([&] { return here.carried.size() == 1; }));
    const time_point back = boot_now();
    bool announced = false;
    http_client reader{"127.0.0.1", here.settings.store.port};
    while (!announced && boot_now() - back < 2s) {
        bool read = false;
        reader.call(adapter::read_announcements({}), 2s, [&](const auto& response) {
            read = true;
            announced = !adapter::decode_rows(response.value()).value().rows.empty();
        });
        REQUIRE(here.run([&] { return read; }));
    }
    CHECK(announced);
}

// ONE: a claim that was lost between claim and order let the next claimant use its token again.
TEST_CASE("a lost claim is written again, and later claims have higher tokens")
{
    drill here;
    proxy::options options;
    options.daemon = "d0";
    proxy::proxy proxy{options};
    promotion_executor executor{here.settings, here.clock,
                                here.era,      5,
                                proxy,         [](const std::string&) { return std::size_t{1}; },
                                [] {}};
    here.start();
    REQUIRE(here.run([&] { return here.clock.known(); }));
    here.store.take_copy();
    const promotion::claim lost{"d0", promotion::first_token(7) + 1, "r1", here.clock.now(), {}};
    executor.run({"ledger", promotion::write_claim{lost, 0}});
    REQUIRE(here.run([&] { return read_claim(here, "ledger").current_claim.has_value(); }));
    CHECK(read_claim(here, "ledger").min_token == lost.token);
    here.store.go_back();
    CHECK_FALSE(read_claim(here, "ledger").current_claim);
    REQUIRE(here.run([&] { return here.era.rollbacks() == 1; }));
    REQUIRE(here.run([&] { return executor.restored_claims() == 1; }));
    const promotion::shared_state state = read_claim(here, "ledger");
    REQUIRE(state.current_claim);
    CHECK(state.current_claim->token == lost.token);
    CHECK(state.current_claim->target == "r1");
}
