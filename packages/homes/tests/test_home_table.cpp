// Tests of selecting homes.
#include "gypsumstep/homes/home_table.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace gypsumstep;
using namespace gypsumstep::homes;

namespace {

const time_point start{100s};

const std::map<std::string, std::string, std::less<>> regions{
    {"a", "north"}, {"b", "north"}, {"c", "south"}};

std::vector<daemon_entry> make_daemons(std::size_t per_domain)
{
    std::vector<daemon_entry> daemons;
    for (const char* domain : {"a", "b", "c"}) {
        for (std::size_t i = 0; i < per_domain; ++i) {
            daemons.push_back({std::string{domain} + std::to_string(i), domain, "10.0.0.1", 1});
        }
    }
    return daemons;
}

home_table make_table(const std::string& self, std::size_t per_domain)
{
    home_table table{self, self.substr(0, 1), regions};
    table.set_daemons(make_daemons(per_domain));
    return table;
}

} // namespace

TEST_CASE("every daemon is a home while the servers accept enough connections for all")
{
    const home_table table = make_table("a0", 3);
    CHECK(table.homes_of("ledger", 18).size() == 9);
    CHECK(table.is_home("ledger", 18));
    CHECK(table.homes_of("ledger", 17).size() < 9);
    CHECK(table.homes_of("ledger", 0).size() == 9);
}

TEST_CASE("homes fit into the servers' connection limit and cover every domain")
{
    const home_table table = make_table("a0", 20);
    const auto& homes = table.homes_of("ledger", 53);
    CHECK(homes.size() == 6);
    std::set<std::string> domains;
    for (const daemon_entry& daemon : homes) {
        domains.insert(daemon.domain);
    }
    CHECK(domains.size() == 3);
    CHECK(table.homes_of("ledger", 17).size() == 4);
    CHECK(table.homes_of("ledger", 1000).size() == 6);
}

TEST_CASE("all daemons agree on the homes, whatever the order of the list")
{
    const home_table first = make_table("a0", 20);
    home_table second{"c7", "c", regions};
    auto daemons = make_daemons(20);
    std::reverse(daemons.begin(), daemons.end());
    second.set_daemons(daemons);
    CHECK(first.homes_of("ledger", 53) == second.homes_of("ledger", 53));
}

TEST_CASE("groups have different homes")
{
    const home_table table = make_table("a0", 20);
    std::set<std::string> names;
    for (const char* service : {"s1", "s2", "s3", "s4", "s5", "s6"}) {
        for (const daemon_entry& daemon : table.homes_of(service, 53)) {
            names.insert(daemon.name);
        }
    }
    CHECK(names.size() >= 20);
}

TEST_CASE("the loss of a daemon replaces only its own part of the homes")
{
    home_table table = make_table("a0", 20);
    const auto before = table.homes_of("ledger", 53);
    auto daemons = make_daemons(20);
    std::erase_if(daemons, [&](const daemon_entry& daemon) { return daemon == before.front(); });
    table.set_daemons(daemons);
    const auto after = table.homes_of("ledger", 53);
    std::size_t kept = 0;
    for (const daemon_entry& daemon : before) {
        kept += std::find(after.begin(), after.end(), daemon) != after.end() ? 1 : 0;
    }
    CHECK(kept == before.size() - 1);
}

TEST_CASE("near homes are tried first, failed ones last")
{
    home_table table = make_table("a0", 20);
    auto order = table.forwarding_order("ledger", 53, 1, start);
    REQUIRE(order.size() >= 4);
    CHECK(order.front().domain == "a");
    CHECK(order.back().domain == "c");
    const std::string first = order.front().name;
    table.mark_failed(first, start);
    order = table.forwarding_order("ledger", 53, 1, start + 10ms);
    CHECK(order.back().name == first);
    order = table.forwarding_order("ledger", 53, 1, start + home_table::failure_backoff);
    CHECK(order.front().name == first);
}

TEST_CASE("sessions are spread over the homes of the domain")
{
    const home_table table = make_table("a0", 20);
    std::size_t near = 0;
    for (const daemon_entry& daemon : table.homes_of("ledger", 53)) {
        near += daemon.domain == "a" && daemon.name != "a0" ? 1 : 0;
    }
    std::set<std::string> firsts;
    for (std::uint64_t session_number = 0; session_number < 40; ++session_number) {
        firsts.insert(table.forwarding_order("ledger", 53, session_number, start).front().name);
    }
    CHECK(firsts.size() == near);
}

TEST_CASE("a group has one home in each of many domains")
{
    home_table table{"d0-0", "d0", {}};
    std::vector<daemon_entry> daemons;
    for (int domain = 0; domain < 6; ++domain) {
        for (int i = 0; i < 14; ++i) {
            const std::string name = "d" + std::to_string(domain);
            daemons.push_back({name + '-' + std::to_string(i), name, "10.0.0.1", 1});
        }
    }
    table.set_daemons(daemons);
    const auto homes = table.homes_of("ledger", 53);
    std::set<std::string> domains;
    for (const daemon_entry& daemon : homes) {
        domains.insert(daemon.domain);
    }
    CHECK(homes.size() == home_table::target_homes);
    CHECK(domains.size() == 6);
    CHECK(table.connection_share("ledger", 53) == home_table::max_connections_per_home);
    CHECK(table.connection_share("ledger", 17) == 4);
}

TEST_CASE("daemons with more processor capacity serve more groups")
{
    constexpr int services = 400;
    home_table table{"small-0", "a", {}};
    std::vector<daemon_entry> daemons{{"large", "a", "10.0.0.1", 1, 500}};
    for (int i = 0; i < 9; ++i) {
        daemons.push_back({"small-" + std::to_string(i), "a", "10.0.0.1", 1, 125});
    }
    table.set_daemons(daemons);
    int first_is_large = 0;
    for (int i = 0; i < services; ++i) {
        // A limit of one connection per server allows one home.
        const auto homes = table.homes_of("service-" + std::to_string(i), 1);
        REQUIRE(homes.size() == 1);
        first_is_large += homes.front().name == "large" ? 1 : 0;
    }
    // The expected share is 500^2 / (500^2 + 9 * 125^2), that is 64 %.
    CHECK(first_is_large > services * 55 / 100);
    CHECK(first_is_large < services * 73 / 100);
}
