// Tests of following servers and configurations.
#include "harness.h"

using namespace gypsumstep;
using namespace gypsumstep::proxy::test;

TEST_CASE("the proxy is ready once it knows routes and servers")
{
    harness world;
    CHECK_FALSE(world.tested().ready());
    world.configure();
    CHECK_FALSE(world.tested().ready());
    world.list_servers();
    CHECK(world.tested().ready());
}

TEST_CASE("a configuration never goes back")
{
    harness world;
    world.start();
    world.configure(9);
    directory::configuration old;
    old.version = config_version{8};
    world.tested().on_configuration(old, world.now);
    CHECK(world.tested().routes().version() == config_version{9});
    CHECK(world.tested().routes().find("own") != nullptr);
}

TEST_CASE("a server whose entry lapsed serves until the grace period ends")
{
    harness world;
    world.start();
    world.list_servers("r");
    const session_id client = world.connect("bounded");
    CHECK(world.ask(client, harness::read())->signature == "sig-r");
    world.pass(directory::server_directory::absence_grace);
    world.list_servers("r");
    CHECK(world.ask(client, harness::read())->signature == "sig-p");
}

TEST_CASE("a server without room for another connection is asked for fewer")
{
    harness world;
    world.start();
    const session_id client = world.connect("primary");
    CHECK(world.ask(client, harness::write())->ok());
    CHECK(world.tested().gauges().server_connections >= 1);
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

TEST_CASE("a primary that denies its role is not asked again at once")
{
    harness world;
    world.start();
    world.servers["p"].primary = false;
    const session_id client = world.connect("primary");
    world.answers.clear();
    world.send(client, harness::write());
    world.pass(200ms);
    CHECK(world.commands(command_kind::forward, "p").size() == 1);
    CHECK(world.tested().server_listing_urgency() == proxy::listing_urgency::urgent);
}

TEST_CASE("the listing is read as often as the groups that are served need it")
{
    harness world;
    CHECK(world.tested().server_listing_urgency() == proxy::listing_urgency::urgent);
    world.start();
    CHECK(world.tested().server_listing_urgency() == proxy::listing_urgency::normal);
    world.list_servers("r");
    CHECK(world.tested().server_listing_urgency() == proxy::listing_urgency::soon);
    world.list_servers();
    world.tested().set_served_groups({}, world.now);
    world.pass(3s);
    CHECK(world.tested().server_listing_urgency() == proxy::listing_urgency::none);
}
