// Tests of the server choice by session token, age and declared mode.
#include "gypsumstep/routing/choose_server.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::routing;

namespace {

const time_point now{100s};

group_view make_group()
{
    group_view group{group_id{0}, term{2}, server_id{0}, {}};
    group.servers.push_back({server_id{0}, {term{2}, 10}, now, 1ms, true, false});
    group.servers.push_back({server_id{1}, {term{2}, 8}, now - 2s, 1ms, true, false});
    group.servers.push_back({server_id{2}, {term{1}, 99}, now - 9s, 500us, true, false});
    return group;
}

route_request read_request(std::optional<log_position> seen, std::optional<duration> age)
{
    route_request request;
    request.declared.mode = session::access_mode::read;
    request.declared.max_age = age;
    request.session_position = seen;
    return request;
}

} // namespace

TEST_CASE("an undeclared statement runs on the primary")
{
    CHECK(choose_server(make_group(), {}, now) == route{chosen_server{server_id{0}, true}});
}

TEST_CASE("a read runs on a replica that has reached the token's position")
{
    const auto chosen =
        choose_server(make_group(), read_request(log_position{term{2}, 8}, {}), now);
    CHECK(chosen == route{chosen_server{server_id{1}, false}});
}

TEST_CASE("a higher index of an older term does not satisfy the token")
{
    const auto chosen =
        choose_server(make_group(), read_request(log_position{term{2}, 9}, {}), now);
    CHECK(chosen == route{chosen_server{server_id{0}, true}});
}

TEST_CASE("a session without a position reads from the primary unless it declares an age")
{
    CHECK(choose_server(make_group(), read_request({}, {}), now) ==
          route{chosen_server{server_id{0}, true}});
    CHECK(choose_server(make_group(), read_request({}, duration{30s}), now) ==
          route{chosen_server{server_id{2}, false}});
    CHECK(choose_server(make_group(), read_request({}, duration{3s}), now) ==
          route{chosen_server{server_id{1}, false}});
}

TEST_CASE("a leaving replica takes no reads and a server that was tried is not chosen again")
{
    auto group = make_group();
    group.servers[1].leaving = true;
    auto request = read_request(log_position{term{1}, 5}, {});
    CHECK(choose_server(group, request, now) == route{chosen_server{server_id{2}, false}});
    request.tried.emplace_back(2);
    CHECK(choose_server(group, request, now) == route{chosen_server{server_id{0}, true}});
    request.tried.emplace_back(0);
    CHECK(choose_server(group, request, now) == route{route_refusal::no_fresh_server});
}

TEST_CASE("a write without a reachable primary is refused")
{
    auto group = make_group();
    group.servers[0].reachable = false;
    CHECK(choose_server(group, {}, now) == route{route_refusal::no_primary});
}
