// Tests of the decisions about server connections of client accounts. The load is that of the
// seismograph deployment: 84 accounts with weights 1/k^1.2, servers with 4 slots and 56
// connections, 6 homes for each group.
#include "gypsumstep/dispatch/connection_choice.h"
#include "gypsumstep/dispatch/connection_share.h"

#include <catch2/catch.hpp>

#include <array>
#include <vector>

using namespace gypsumstep;
using namespace gypsumstep::dispatch;

namespace {

constexpr time_point start{100s};

/// Uses of two accounts over a minute: "large" ten times a second, "small" once in 10 s.
account_usage usage_of_two()
{
    account_usage usage;
    for (int tenth = 0; tenth < 600; ++tenth) {
        const time_point now = start + tenth * 100ms;
        usage.on_taken("large", now);
        if (tenth % 100 == 0) {
            usage.on_taken("small", now);
        }
    }
    return usage;
}

constexpr time_point later = start + 60s;

} // namespace

// Guards against closing the connection that is needed next: the longest idle one may be of a
// busy account, and a busy account's fifth connection is worth less than a small one's only one.
TEST_CASE("The idle connection with the least expected reuse is closed")
{
    const account_usage usage = usage_of_two();
    CHECK(usage.rate("large", later) > 5.0);
    CHECK(usage.rate("small", later) < 0.2);
    CHECK(usage.busiest(later) == "large");
    const std::vector<pooled_connection> one_each{{"large", connection_use::idle, start},
                                                  {"small", connection_use::idle, later}};
    CHECK(choose_to_close(one_each, usage, "new", later)->place == 1);
    std::vector<pooled_connection> many(6, {"large", connection_use::idle, later});
    many.push_back({"small", connection_use::idle, start});
    CHECK(choose_to_close(many, usage, "new", later)->place == 0);
    const std::vector<pooled_connection> unknown{{"small", connection_use::idle, start},
                                                 {"never", connection_use::idle, later}};
    CHECK(choose_to_close(unknown, usage, "new", later)->place == 1);
}

// Guards against breaking a client's transaction to make room, and against closing connections
// that are being opened for another statement.
TEST_CASE("Only idle connections of other accounts are closed")
{
    const account_usage usage = usage_of_two();
    const std::vector<pooled_connection> taken{{"small", connection_use::in_transaction, start},
                                               {"small", connection_use::running, start},
                                               {"small", connection_use::opening, start},
                                               {"large", connection_use::idle, start}};
    CHECK(choose_to_close(taken, usage, "new", later)->place == 3);
    CHECK_FALSE(choose_to_close(taken, usage, "large", later));
    CHECK(choose_to_close(taken, usage, std::nullopt, later)->place == 3);
}

// Guards against a handshake for each statement of a burst of one account.
TEST_CASE("A connection is opened only if waiting takes longer")
{
    opening_input input;
    input.mean_hold = 9ms;
    input.opening_time = 18ms;
    CHECK(is_opening_worthwhile(input));
    input.running = 1;
    CHECK_FALSE(is_opening_worthwhile(input));
    input.waiting_before = 3;
    CHECK_FALSE(is_opening_worthwhile(input));
    input.waiting_before = 5;
    CHECK(is_opening_worthwhile(input));
    input.closed_reuse_rate = 1.0;
    CHECK_FALSE(is_opening_worthwhile(input));
    input.waiting_before = 9;
    CHECK(is_opening_worthwhile(input));
    // The one that is being opened serves the first waiting statement.
    input = {};
    input.mean_hold = 9ms;
    input.opening_time = 18ms;
    input.opening = 1;
    CHECK_FALSE(is_opening_worthwhile(input));
}

// Guards against many small accounts, or those of a lost home, whose new connections take the
// slots of urgent work: 6 homes that all have statements of 84 accounts without a connection.
TEST_CASE("Handshakes of all homes take at most a quarter of a server's slots")
{
    constexpr int homes = 6;
    constexpr std::uint32_t slots = 4;
    std::array<handshake_pace, homes> paces;
    int opened = 0;
    for (time_point now = start; now < start + 10s; now += 1ms) {
        for (handshake_pace& pace : paces) {
            pace.set_capacity(slots, homes, now);
            if (pace.may_open(false, now)) {
                pace.on_opened(now);
                ++opened;
            }
        }
    }
    const double saved_up = homes * handshake_pace::min_saved;
    const double allowed = handshake_pace::slot_share * slots * 10.0 / 0.012;
    CHECK(opened <= allowed + saved_up);
    CHECK(opened >= allowed * 0.9);
    // Urgent statements find a saved one in spite of the others.
    CHECK(paces.front().may_open(true, start + 10s));
    CHECK_FALSE(paces.front().may_open(false, start + 10s));
    CHECK(paces.front().wait_for(1, start + 10s) <= 100ms);
    CHECK(paces.front().wait_for(40, start + 10s) > 2s);
}

// Guards against refused connections: the shares of all homes, and a home that restarts while the
// server still counts its former connections (3 s, one more connection each second), must fit.
TEST_CASE("The shares of all homes stay within a server's connections")
{
    for (std::uint32_t max_connections = 6; max_connections <= 100; ++max_connections) {
        for (std::uint32_t homes = 1; homes <= 6; ++homes) {
            for (std::uint32_t near = 0; near <= homes; ++near) {
                for (const bool is_primary : {true, false}) {
                    share_input input{max_connections, homes, near, true, is_primary};
                    const std::uint32_t near_share = connection_share(input);
                    input.is_near = false;
                    const std::uint32_t total =
                        near * near_share + (homes - near) * connection_share(input);
                    CHECK(total <= max_connections);
                }
            }
        }
    }
    const share_input near_replica{56, 6, 2, true, false};
    const share_input far_replica{56, 6, 2, false, false};
    const share_input far_primary{56, 6, 2, false, true};
    CHECK(connection_share(near_replica) >= 20);
    CHECK(connection_share(far_replica) == 2);
    CHECK(connection_share(far_primary) >= 7);
    // Without its region's server, a home gets as much at the others as their own homes.
    const std::map<std::string, std::uint32_t> homes{{"a", 2}, {"b", 2}, {"c", 2}};
    CHECK(count_homes_near(homes, {"a", "b", "c"}, "a") == 2);
    CHECK(count_homes_near(homes, {"a", "b"}, "a") == 4);
    CHECK(2 * connection_share(near_replica) + 4 * connection_share(far_replica) + 2 + 3 <= 56);
}

// Guards against statements that wait to their limit behind clients idle in transactions.
TEST_CASE("Long transactions lengthen the expected wait before they end")
{
    CHECK(wait_for_returned_connection(30ms, 0ms, 0, 8) < 5ms);
    CHECK(wait_for_returned_connection(30ms, 2s, 0, 8) == 250ms);
    CHECK(wait_for_returned_connection(30ms, 2s, 15, 8) == 4s);
}
