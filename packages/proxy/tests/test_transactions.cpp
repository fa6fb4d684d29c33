// Tests of transactions and the server connections that hold them.
#include "harness.h"

using namespace gypsumstep;
using namespace gypsumstep::proxy::test;

TEST_CASE("a transaction begins on the server with its first statement")
{
    harness world;
    world.start();
    const session_id client = world.connect("primary");
    const auto begun = world.ask(client, harness::begin());
    REQUIRE(begun);
    CHECK(begun->state == transaction_state::open);
    CHECK(world.commands(command_kind::begin).empty());
    CHECK(world.ask(client, harness::write())->state == transaction_state::open);
    CHECK(world.commands(command_kind::begin, "p").size() == 1);
    const auto committed = world.ask(client, harness::commit());
    CHECK(committed->signature == "sig-p");
    CHECK(committed->state == transaction_state::idle);
    CHECK(world.servers["p"].writes == 1);
}

TEST_CASE("all statements of a transaction use one connection that no other session uses")
{
    harness world;
    world.start();
    const session_id first = world.connect("primary");
    const session_id second = world.connect("primary");
    (void)world.ask(first, harness::begin());
    (void)world.ask(first, harness::write());
    (void)world.ask(second, harness::write());
    (void)world.ask(first, harness::write());
    (void)world.ask(first, harness::commit());
    const auto sent = world.commands(command_kind::forward, "p");
    REQUIRE(sent.size() == 4);
    CHECK(sent[0].connection == sent[2].connection);
    CHECK(sent[0].connection == sent[3].connection);
    CHECK(sent[0].connection != sent[1].connection);
}

TEST_CASE("a connection is reusable after its transaction was rolled back")
{
    harness world;
    const session_id client = world.start_writing_transaction();
    CHECK(world.ask(client, harness::rollback())->ok());
    CHECK(world.commands(command_kind::rollback, "p").size() == 1);
    CHECK(world.servers["p"].writes == 0);
    CHECK(world.ask(client, harness::write())->ok());
    CHECK(world.servers["p"].writes == 1);
}

TEST_CASE("a transaction is rolled back when its client disconnects")
{
    harness world;
    const session_id client = world.start_writing_transaction();
    world.close(client);
    CHECK(world.commands(command_kind::rollback, "p").size() == 1);
    CHECK(world.servers["p"].writes == 0);
}

TEST_CASE("a commit of a transaction without statements runs on a server")
{
    harness world;
    world.start();
    const session_id client = world.connect("primary");
    (void)world.ask(client, harness::begin());
    CHECK(world.ask(client, harness::commit())->signature == "sig-p");
}

TEST_CASE("a read-only transaction runs on a replica")
{
    harness world;
    world.start();
    const session_id client = world.connect("bounded");
    (void)world.ask(client, harness::begin_read());
    CHECK(world.ask(client, harness::read())->signature == "sig-r");
    CHECK(world.ask(client, harness::commit())->signature == "sig-r");
    CHECK(world.commands(command_kind::begin_read_only, "r")[0].command.min_position);
}

TEST_CASE("a failed transaction accepts only commit or rollback")
{
    harness world;
    const session_id client = world.start_writing_transaction();
    world.reset("p");
    const auto failed = world.ask(client, harness::write());
    CHECK(failed->error == error_class::aborted);
    CHECK(failed->state == transaction_state::failed);
    CHECK(world.ask(client, harness::write())->error == error_class::malformed);
    CHECK(world.ask(client, harness::rollback())->state == transaction_state::idle);
}

TEST_CASE("the commit of a failed transaction is answered as aborted")
{
    harness world;
    const session_id client = world.start_writing_transaction();
    world.reset("p");
    const auto answer = world.ask(client, harness::commit());
    CHECK(answer->error == error_class::aborted);
    CHECK(answer->state == transaction_state::idle);
    CHECK(world.servers["p"].writes == 0);
}

TEST_CASE("a transaction that is idle too long is rolled back and fails")
{
    harness world;
    const session_id client = world.start_writing_transaction();
    world.advance_time(3200ms);
    CHECK(world.commands(command_kind::rollback, "p").size() == 1);
    CHECK(world.ask(client, harness::commit())->error == error_class::aborted);
    CHECK(world.servers["p"].writes == 0);
}

TEST_CASE("a connection is closed after the server refused a commit on it")
{
    harness world;
    const session_id client = world.start_writing_transaction();
    world.script = [](const received_command& received) -> std::optional<statement::answer> {
        if (received.command.text != "COMMIT") {
            return std::nullopt;
        }
        statement::answer content;
        content.error = error_class::failed;
        content.state = transaction_state::open;
        return content;
    };
    const proxy::server_connection_id used =
        world.commands(command_kind::forward, "p")[0].connection;
    CHECK(world.ask(client, harness::commit())->error == error_class::failed);
    CHECK_FALSE(world.connection_open(used));
}

TEST_CASE(
    "a statement of a transaction refused for lack of capacity is retried on the same connection")
{
    harness world;
    const session_id client = world.start_writing_transaction();
    bool full = true;
    world.script = [&full](const received_command& received) -> std::optional<statement::answer> {
        if (!full || received.command.kind != command_kind::forward) {
            return std::nullopt;
        }
        full = false;
        statement::answer content;
        content.error = error_class::busy;
        content.state = transaction_state::open;
        return content;
    };
    CHECK_FALSE(world.ask(client, harness::write()));
    world.advance_time(40ms);
    CHECK(world.answer_of(client)->ok());
    const auto sent = world.commands(command_kind::forward, "p");
    CHECK(sent[0].connection == sent[2].connection);
}

TEST_CASE("a statement of a transaction is never retried on another connection")
{
    harness world;
    const session_id client = world.start_writing_transaction();
    (void)world.ask(client, harness::set("zone", "cet"));
    // The connection is lost while the session value is replayed, before the statement is sent.
    world.send_to_silent("p", client, harness::write());
    REQUIRE(world.commands(command_kind::set, "p").size() == 1);
    world.servers["p"].silent = false;
    world.reset("p");
    world.advance_time(100ms);
    REQUIRE(world.answer_of(client));
    CHECK(world.answer_of(client)->error == error_class::aborted);
    CHECK(world.commands(command_kind::forward).size() == 1);
}
