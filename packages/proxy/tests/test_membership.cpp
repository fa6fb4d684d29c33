// Tests of changes of the server listing and of the configuration.
#include "harness.h"

using namespace gypsumstep;
using namespace gypsumstep::proxy::test;

TEST_CASE("the proxy is ready once it has routes and a listing of servers")
{
    harness world;
    CHECK_FALSE(world.proxy_under_test().ready());
    world.configure();
    CHECK_FALSE(world.proxy_under_test().ready());
    world.list_servers();
    CHECK(world.proxy_under_test().ready());
}

TEST_CASE("an older configuration is ignored")
{
    harness world;
    world.start();
    world.configure(9);
    directory::configuration old;
    old.version = config_version{8};
    world.proxy_under_test().on_configuration(old, world.now);
    CHECK(world.proxy_under_test().routes().version() == config_version{9});
    CHECK(world.proxy_under_test().routes().find("own") != nullptr);
}

TEST_CASE("a server whose entry lapsed serves until the grace period ends")
{
    harness world;
    world.start();
    world.list_servers("r");
    const session_id client = world.connect("bounded");
    CHECK(world.ask(client, harness::read())->signature == "sig-r");
    world.advance_time(directory::server_directory::absence_grace);
    world.list_servers("r");
    CHECK(world.ask(client, harness::read())->signature == "sig-p");
}

TEST_CASE("a write opens at least one server connection")
{
    harness world;
    world.start();
    const session_id client = world.connect("primary");
    CHECK(world.ask(client, harness::write())->ok());
    CHECK(world.proxy_under_test().gauges().server_connections >= 1);
}

TEST_CASE("the next primary is taken from its registration")
{
    harness world;
    world.start();
    const session_id client = world.connect("primary");
    (void)world.ask(client, harness::write());
    world.servers["p"].primary = false;
    world.servers["r"].primary = true;
    world.servers["r"].position = {term{2}, 101};
    world.list_servers();
    CHECK(world.ask(client, harness::write())->signature == "sig-r");
}

TEST_CASE("a primary that denies its role is not sent the next write at once")
{
    harness world;
    world.start();
    world.servers["p"].primary = false;
    const session_id client = world.connect("primary");
    world.answers.clear();
    world.send(client, harness::write());
    world.advance_time(200ms);
    CHECK(world.commands(command_kind::forward, "p").size() == 1);
    CHECK(world.proxy_under_test().server_listing_urgency() == proxy::listing_urgency::urgent);
}

TEST_CASE("the urgency of the server listing follows the state of the served groups")
{
    harness world;
    CHECK(world.proxy_under_test().server_listing_urgency() == proxy::listing_urgency::urgent);
    world.start();
    CHECK(world.proxy_under_test().server_listing_urgency() == proxy::listing_urgency::normal);
    world.list_servers("r");
    CHECK(world.proxy_under_test().server_listing_urgency() == proxy::listing_urgency::soon);
    world.list_servers();
    world.proxy_under_test().set_served_groups({}, world.now);
    world.advance_time(3s);
    CHECK(world.proxy_under_test().server_listing_urgency() == proxy::listing_urgency::none);
}
