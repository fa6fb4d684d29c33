// Tests of what reads must see and where they run.
#include "harness.h"

using namespace gypsumstep;
using namespace gypsumstep::proxy::test;

TEST_CASE("a read waits for a proof of the primary and then runs on a replica")
{
    harness world;
    world.start();
    const session_id client = world.connect("bounded");
    CHECK(world.ask(client, harness::read())->signature == "sig-r");
    CHECK(world.commands(command_kind::begin, "p").size() == 1);
    const auto sent = world.commands(command_kind::forward, "r");
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].command.min_position == log_position{term{1}, 100});
}

TEST_CASE("one proof serves reads until it is older than their staleness")
{
    harness world;
    world.start();
    const session_id client = world.connect("bounded");
    (void)world.ask(client, harness::read());
    world.pass(1s);
    (void)world.ask(client, harness::read());
    CHECK(world.commands(command_kind::begin, "p").size() == 1);
    world.pass(1s);
    (void)world.ask(client, harness::read());
    CHECK(world.commands(command_kind::begin, "p").size() == 2);
}

TEST_CASE("a read on a primary route needs a proof sent after its arrival")
{
    harness world;
    world.start();
    const session_id client = world.connect("primary");
    (void)world.ask(client, harness::read());
    world.now += 1ms;
    (void)world.ask(client, harness::read());
    CHECK(world.commands(command_kind::begin, "p").size() == 2);
}

TEST_CASE("a proof that is under way when a read arrives does not serve it")
{
    harness world;
    world.start();
    const session_id first = world.connect("primary");
    const session_id second = world.connect("primary");
    world.servers["p"].silent = true;
    world.send(first, harness::read());
    const auto early = world.commands(command_kind::begin, "p");
    REQUIRE(early.size() == 1);
    world.now += 10ms;
    world.answers.clear();
    world.send(second, harness::read());
    // A commit was acknowledged between the two reads.
    statement::answer proof;
    proof.state = transaction_state::open;
    proof.position = log_position{term{1}, 100};
    world.servers["p"].position.index = 101;
    world.servers["p"].silent = false;
    world.answer_late(early[0], proof);
    CHECK(world.answer_of(first));
    const auto reads = world.commands(command_kind::forward, "r");
    REQUIRE_FALSE(reads.empty());
    CHECK(reads[0].command.min_position == log_position{term{1}, 100});
    for (const auto& each : world.commands(command_kind::forward)) {
        if (each.command.id == "q2") {
            CHECK(*each.command.min_position >= log_position{term{1}, 101});
        }
    }
}

TEST_CASE("a session reads its own commit even if the replica is behind")
{
    harness world;
    world.start();
    const session_id client = world.connect("own");
    (void)world.ask(client, harness::read());
    CHECK(world.ask(client, harness::write())->ok());
    // The replica still holds position 100; the commit is 101.
    CHECK(world.ask(client, harness::read())->signature == "sig-p");
    world.servers["r"].position.index = 101;
    world.pass(1s);
    CHECK(world.ask(client, harness::read())->signature == "sig-r");
}

TEST_CASE("another session's older watermark lets a lagging replica serve")
{
    harness world;
    world.start();
    const session_id reader = world.connect("bounded");
    const session_id writer = world.connect("primary");
    (void)world.ask(reader, harness::read());
    world.pass(100ms);
    (void)world.ask(writer, harness::write());
    CHECK(world.ask(reader, harness::read())->signature == "sig-r");
}

TEST_CASE("no proof comes from a server that does not lead")
{
    harness world;
    world.start();
    world.servers["p"].primary = false;
    const session_id client = world.connect("bounded");
    CHECK_FALSE(world.ask(client, harness::read()));
    CHECK(world.commands(command_kind::forward).empty());
    world.pass(1s);
    CHECK(world.answer_of(client)->error == error_class::busy);
}

TEST_CASE("after a promotion positions of the old term are owed to nobody")
{
    harness world;
    world.start();
    const session_id client = world.connect("own");
    (void)world.ask(client, harness::write());
    // The commit at 101 did not reach the replica, which is promoted.
    world.servers["p"].primary = false;
    world.servers["p"].reachable = false;
    world.servers["r"].primary = true;
    world.servers["r"].position = {term{2}, 100};
    world.reset("p");
    world.list_servers();
    world.pass(1600ms);
    CHECK(world.ask(client, harness::write())->ok());
    CHECK(world.ask(client, harness::read())->signature == "sig-r");
}

TEST_CASE("a draining replica gets no new reads")
{
    harness world;
    world.start();
    world.draining.insert("r");
    world.list_servers();
    const session_id client = world.connect("bounded");
    CHECK(world.ask(client, harness::read())->signature == "sig-p");
}

TEST_CASE("a server whose name is expected is always named")
{
    harness world;
    world.configure();
    std::vector<directory::server_entry> listing{world.entry_of("p")};
    world.tested().on_servers(listing, world.now);
    bool opened = false;
    for (const auto& each : world.tested().take_actions()) {
        if (const auto* link = std::get_if<proxy::open_server_connection>(&each)) {
            opened = true;
            CHECK(link->server == "p");
            CHECK(link->service == "ledger");
        }
    }
    CHECK(opened);
}
