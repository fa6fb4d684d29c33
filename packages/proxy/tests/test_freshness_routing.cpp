// Tests of the freshness that reads require and of the servers that they run on.
#include "harness.h"

using namespace gypsumstep;
using namespace gypsumstep::proxy::test;

TEST_CASE("a read waits for a watermark of the primary and then runs on a replica")
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

TEST_CASE("one watermark serves reads until it is older than their maximum staleness")
{
    harness world;
    world.start();
    const session_id client = world.connect("bounded");
    (void)world.ask(client, harness::read());
    world.advance_time(1s);
    (void)world.ask(client, harness::read());
    CHECK(world.commands(command_kind::begin, "p").size() == 1);
    world.advance_time(1s);
    (void)world.ask(client, harness::read());
    CHECK(world.commands(command_kind::begin, "p").size() == 2);
}

TEST_CASE("a read on a primary route needs a watermark request sent after its arrival")
{
    harness world;
    world.start();
    const session_id client = world.connect("primary");
    (void)world.ask(client, harness::read());
    world.now += 1ms;
    (void)world.ask(client, harness::read());
    CHECK(world.commands(command_kind::begin, "p").size() == 2);
}

TEST_CASE("a watermark requested before a read arrived does not serve that read")
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
    statement::answer watermark;
    watermark.state = transaction_state::open;
    watermark.position = log_position{term{1}, 100};
    world.servers["p"].position.index = 101;
    world.servers["p"].silent = false;
    world.answer_late(early[0], watermark);
    CHECK(world.answer_of(first));
    const auto reads = world.commands(command_kind::forward, "r");
    REQUIRE_FALSE(reads.empty());
    CHECK(reads[0].command.min_position == log_position{term{1}, 100});
    for (const auto& forwarded : world.commands(command_kind::forward)) {
        if (forwarded.command.id == "q2") {
            CHECK(*forwarded.command.min_position >= log_position{term{1}, 101});
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
    world.advance_time(1s);
    CHECK(world.ask(client, harness::read())->signature == "sig-r");
}

TEST_CASE("an older watermark of another session allows reads on a lagging replica")
{
    harness world;
    world.start();
    const session_id reader = world.connect("bounded");
    const session_id writer = world.connect("primary");
    (void)world.ask(reader, harness::read());
    world.advance_time(100ms);
    (void)world.ask(writer, harness::write());
    CHECK(world.ask(reader, harness::read())->signature == "sig-r");
}

TEST_CASE("a server that is not the primary gives no watermark")
{
    harness world;
    world.start();
    world.servers["p"].primary = false;
    const session_id client = world.connect("bounded");
    CHECK_FALSE(world.ask(client, harness::read()));
    CHECK(world.commands(command_kind::forward).empty());
    world.advance_time(1s);
    CHECK(world.answer_of(client)->error == error_class::busy);
}

TEST_CASE("after a promotion no read waits for a lost position of the old term")
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
    world.advance_time(1600ms);
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

TEST_CASE("a connection is opened with the name of the server that is expected to answer")
{
    harness world;
    world.configure();
    std::vector<directory::server_entry> listing{world.entry_of("p")};
    world.proxy_under_test().on_servers(listing, world.now);
    bool opened = false;
    for (const auto& action : world.proxy_under_test().take_actions()) {
        if (const auto* connection = std::get_if<proxy::open_server_connection>(&action)) {
            opened = true;
            CHECK(connection->server == "p");
            CHECK(connection->service == "ledger");
        }
    }
    CHECK(opened);
}

// STALE: the session kept only its newest commit, so that the commit on the second service replaced
// the one on the first.
TEST_CASE("a session reads its commit on a service after it committed on another one")
{
    harness world;
    world.servers["a"].primary = true;
    world.servers["a"].service = "archive";
    world.start();
    const session_id client = world.connect("own");
    (void)world.ask(client, harness::read());
    CHECK(world.ask(client, harness::write())->ok());
    const log_position own_commit = world.servers["p"].position;
    REQUIRE(own_commit > world.servers["r"].position);

    world.configure(2, 0, "archive");
    CHECK(world.ask(client, harness::write())->signature == "sig-a");
    world.configure(3, 0, "ledger");
    world.advance_time(1s);
    CHECK(world.ask(client, harness::read())->signature == "sig-p");
    CHECK(world.commands(command_kind::forward).back().command.min_position == own_commit);
}

TEST_CASE("a read that follows a commit without a position needs a newer watermark")
{
    harness world;
    world.start();
    const session_id client = world.connect("own");
    (void)world.ask(client, harness::read());
    CHECK(world.commands(command_kind::begin, "p").size() == 1);
    world.script = [](const received_command& received) -> std::optional<statement::answer> {
        if (!received.command.text.starts_with("WRITE")) {
            return std::nullopt;
        }
        statement::answer content;
        content.signature = "sig-p";
        return content;
    };
    world.now += 10ms;
    CHECK(world.ask(client, harness::write())->ok());
    world.servers["p"].position.index = 101;
    world.now += 10ms;
    CHECK(world.ask(client, harness::read())->signature == "sig-p");
    CHECK(world.commands(command_kind::begin, "p").size() == 2);
}
