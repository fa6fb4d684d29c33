// Tests of the choice of homes.
#include "gypsumstep/homes/home_map.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::homes;

namespace {

constexpr std::uint16_t domains = 3;
constexpr std::uint32_t servers = 300;

/// Domains 0 and 2 lie in one region; server n lies in domain n % 3, three servers a group.
fleet::document make_document(std::uint32_t server_count = servers)
{
    fleet::document result;
    for (std::uint16_t id = 0; id < domains; ++id) {
        result.domains.push_back({domain_id{id}, "d", id == 1 ? "west" : "east"});
    }
    for (std::uint32_t id = 0; id < server_count; ++id) {
        fleet::server item;
        item.id = server_id{id};
        item.group = group_id{id / 3};
        item.failure_domain = domain_id{static_cast<std::uint16_t>(id % domains)};
        if (id % 3 == 0) {
            result.groups.push_back({item.group, "g", "s", {}, true});
        }
        result.groups.back().servers.push_back(item.id);
        result.servers.push_back(item);
    }
    return result;
}

endpoint daemon(std::uint32_t number)
{
    return {0x0A000000U + number, 7400};
}

domain_id domain_of(std::uint32_t number)
{
    return domain_id{static_cast<std::uint16_t>(number % domains)};
}

home_map make_map(std::uint32_t daemons)
{
    home_map map{make_document()};
    for (std::uint32_t number = 0; number < daemons; ++number) {
        map.add(daemon(number), domain_of(number));
    }
    return map;
}

} // namespace

TEST_CASE("a server's homes are two daemons of its own failure domain")
{
    const home_map map = make_map(12);
    for (std::uint32_t id = 0; id < servers; ++id) {
        const server_homes homes = map.homes_of(server_id{id});
        REQUIRE(homes.first.has_value());
        REQUIRE(homes.second.has_value());
        CHECK(*homes.first != *homes.second);
        CHECK((homes.first->ip - daemon(0).ip) % domains == id % domains);
        CHECK((homes.second->ip - daemon(0).ip) % domains == id % domains);
    }
}

TEST_CASE("homes depend on who lives, not on the order of news")
{
    home_map grown = make_map(12);
    home_map other{make_document()};
    for (std::uint32_t number = 20; number-- > 0;) {
        other.add(daemon(number), domain_of(number));
    }
    for (std::uint32_t number = 12; number < 20; ++number) {
        other.remove(daemon(number));
    }
    for (std::uint32_t id = 0; id < servers; ++id) {
        CHECK(grown.homes_of(server_id{id}) == other.homes_of(server_id{id}));
    }
}

TEST_CASE("only the homes of a daemon that dies move")
{
    home_map map = make_map(12);
    const auto homed = map.servers_of(daemon(4));
    CHECK(map.remove(daemon(4)) == homed);
    CHECK(map.servers_of(daemon(4)).empty());
    CHECK(map.add(daemon(4), domain_of(4)) == homed);
}

TEST_CASE("servers of a domain without daemons fall back on the nearest one")
{
    home_map map = make_map(12);
    const server_homes before = map.homes_of(server_id{0});
    for (const std::uint32_t number : {0U, 3U, 6U, 9U}) {
        map.remove(daemon(number));
    }
    const server_homes spilled = map.homes_of(server_id{0});
    REQUIRE(spilled.first.has_value());
    CHECK((spilled.first->ip - daemon(0).ip) % domains == 2);
    // A death in the domain that stands in moves the spilled servers as well.
    map.remove(*spilled.first);
    CHECK(map.homes_of(server_id{0}).first == spilled.second);
    map.add(*spilled.first, domain_id{2});
    for (const std::uint32_t number : {0U, 3U, 6U, 9U}) {
        map.add(daemon(number), domain_id{0});
    }
    CHECK(map.homes_of(server_id{0}) == before);
}

TEST_CASE("a daemon alone is the only home; without daemons there is none")
{
    home_map map = make_map(1);
    CHECK(map.homes_of(server_id{5}) == server_homes{daemon(0), std::nullopt});
    map.remove(daemon(0));
    CHECK(map.homes_of(server_id{5}) == server_homes{});
}

TEST_CASE("the watchers of a group are the homes of its servers")
{
    const home_map map = make_map(12);
    CHECK(map.watchers_of(group_id{7}).size() == 6);
    CHECK(map.watchers_of(group_id{100'000}).empty());
}

TEST_CASE("a new configuration reports the servers whose homes differ")
{
    home_map map = make_map(12);
    CHECK(map.set_configuration(make_document()).empty());
    CHECK(map.set_configuration(make_document(servers + 3)).size() == 3);
    CHECK(map.set_configuration(make_document()).size() == 3);
}
