// Tests of tracking the registrations of backend servers.
#include "gypsumstep/directory/server_directory.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::directory;

namespace {

const time_point start{100s};

server_entry make_entry(const std::string& name)
{
    server_entry entry;
    entry.name = name;
    entry.service = "ledger";
    entry.host = "10.0.0.1";
    entry.port = 8080;
    entry.slots = 5;
    return entry;
}

} // namespace

TEST_CASE("an entry that lapsed while the store was away is used until the grace period ends")
{
    server_directory servers;
    const server_id id = servers.update({make_entry("a")}, start).added.front();
    CHECK(servers.update({}, start + 1s).missing == std::vector{id});
    CHECK(servers.find(id) != nullptr);
    CHECK(servers.update({make_entry("a")}, start + 3s).empty());
    CHECK_FALSE(servers.find(id)->missing_since);
}

TEST_CASE("an entry that stays absent is removed")
{
    server_directory servers;
    const server_id id = servers.update({make_entry("a")}, start).added.front();
    (void)servers.update({}, start + 1s);
    CHECK(servers.update({}, start + 2s).removed.empty());
    CHECK(servers.update({}, start + 1s + server_directory::absence_grace).removed ==
          std::vector{id});
    CHECK(servers.find(id) == nullptr);
}

TEST_CASE("a server that restarted under the same name is treated as another server")
{
    server_directory servers;
    const server_id first = servers.update({make_entry("a")}, start).added.front();
    server_entry restarted = make_entry("a");
    restarted.started_unix_ms = 5;
    const auto change = servers.update({restarted}, start + 1s);
    REQUIRE(change.added.size() == 1);
    CHECK(change.added.front() != first);
    CHECK(change.missing == std::vector{first});
}

TEST_CASE("draining and role changes are reported once")
{
    server_directory servers;
    const server_id id = servers.update({make_entry("a")}, start).added.front();
    server_entry changed = make_entry("a");
    changed.draining = true;
    changed.role = server_role::primary;
    const auto change = servers.update({changed}, start + 1s);
    CHECK(change.started_draining == std::vector{id});
    CHECK(change.role_changed == std::vector{id});
    CHECK(servers.update({changed}, start + 2s).empty());
    CHECK(servers.find(id)->role_listing_number == 2);
}
