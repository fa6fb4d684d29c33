// Tests of homes by group and client account: 80 daemons in 6 domains of 3 regions, 84 accounts
// with weights 1/k^1.2.
#include "gypsumstep/homes/home_table.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

using namespace gypsumstep;
using namespace gypsumstep::homes;

namespace {

constexpr time_point now{100s};
constexpr std::uint32_t max_connections = 56;

home_table make_table(const std::string& self, const std::string& domain)
{
    std::map<std::string, std::string, std::less<>> regions;
    std::vector<daemon_entry> daemons;
    for (int place = 0; place < 6; ++place) {
        const std::string name = "d" + std::to_string(place);
        regions[name] = "region" + std::to_string(place / 2);
        for (int number = 0; number < 13; ++number) {
            daemons.push_back(
                {name + "-" + std::to_string(number), name, "h", 1, number < 2 ? 500U : 120U});
        }
    }
    home_table table{self, domain, regions};
    table.set_daemons(daemons);
    return table;
}

std::vector<account_traffic> accounts()
{
    std::vector<account_traffic> made;
    double total = 0;
    for (int rank = 1; rank <= 84; ++rank) {
        made.push_back({"account" + std::to_string(rank), std::pow(rank, -1.2)});
        total += made.back().share;
    }
    for (account_traffic& account : made) {
        account.share /= total;
    }
    return made;
}

} // namespace

// Guards against each home of a region opening connections for each account.
TEST_CASE("The sessions of an account meet at one home of the region")
{
    const home_table west = make_table("d0-5", "d0");
    const home_table east = make_table("d1-7", "d1");
    std::map<std::string, double> load;
    for (const account_traffic& account : accounts()) {
        std::set<std::string> used;
        for (std::uint64_t session = 0; session < 20; ++session) {
            for (const home_table* table : {&west, &east}) {
                const auto first =
                    table->account_order("s", max_connections, account, session, now).front();
                CHECK((first.domain == "d0" || first.domain == "d1"));
                used.insert(first.name);
                load[first.name] += account.share / 40;
            }
        }
        CHECK(used.size() == (account.share >= 0.125 ? 2 : 1));
    }
    REQUIRE(load.size() == 2);
    // The largest account is spread, so that neither home gets much more than the other.
    CHECK(load.begin()->second > 0.25);
    CHECK(load.begin()->second < 0.75);
}

// Guards against sessions that leave the region although another home is there.
TEST_CASE("The other home of the region takes over, then those of other regions")
{
    home_table table = make_table("d0-5", "d0");
    const account_traffic account{"account9", 0.02};
    const auto order = table.account_order("s", max_connections, account, 1, now);
    REQUIRE(order.size() == 6);
    table.mark_failed(order[0].name, now);
    const auto next = table.account_order("s", max_connections, account, 1, now + 1s);
    CHECK(next[0] == order[1]);
    CHECK((next[0].domain == "d0" || next[0].domain == "d1"));
    CHECK(next[5] == order[0]);
    table.mark_failed(order[1].name, now);
    const auto last = table.account_order("s", max_connections, account, 1, now + 1s);
    CHECK(last[0] == order[2]);
}

// Guards against a change for deployments without accounts: near homes first, itself if it is one.
TEST_CASE("Without an account near homes come first")
{
    const home_table table = make_table("d0-5", "d0");
    const auto& homes = table.homes_of("s", max_connections);
    const auto plain = table.forwarding_order("s", max_connections, 7, now);
    CHECK(table.account_order("s", max_connections, {}, 7, now) == plain);
    const auto own = std::find_if(homes.begin(), homes.end(),
                                  [](const daemon_entry& daemon) { return daemon.domain == "d3"; });
    const home_table home = make_table(own->name, "d3");
    CHECK(home.serves_account("s", max_connections, {}, now));
    CHECK(home.serves_account("s", max_connections, {"account1", 0.3}, now));
}
