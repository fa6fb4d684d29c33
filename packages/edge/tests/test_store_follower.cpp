// Tests of following the store against its stand-in: odd entries beside good ones.
#include "event_loop.h"
#include "store_follower.h"

#include "settings_standin.h"
#include "store_standin.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::edge;
using namespace gypsumstep::edge::test;
using namespace gypsumstep::adapter::standins;

TEST_CASE("the list of servers is followed past odd entries")
{
    application();
    store_standin store{[](const promotion_order&) { return true; }, [](const std::string&) {}};
    for (const auto& [key, value] : odd_server_rows()) {
        store.put(server_table, key, value);
    }
    store.put(server_table, "good", registration_text("127.0.0.1:5000", "5", false));
    std::vector<std::vector<directory::server_entry>> lists;
    store_follower follower{
        {"127.0.0.1", store.listen()},
        1,
        {
            [](const directory::configuration& /*next*/) {},
            [&](const std::vector<directory::server_entry>& servers) { lists.push_back(servers); },
            [] { return proxy::listing_urgency::urgent; },
            [] { return std::size_t{1}; },
            [](promotion::store_time /*now*/) {},
        }};
    follower.start();
    REQUIRE(run_until([&] { return !lists.empty(); }));
    REQUIRE(lists.back().size() == 1);
    CHECK(lists.back()[0].name == "good");

    store.put(server_table, "good", registration_text("127.0.0.1:5000", "5", true));
    CHECK(run_until([&] { return lists.back().size() == 1 && lists.back()[0].draining; }));
}
