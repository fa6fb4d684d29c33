// Tests of the outcome of statements when servers fail: retried, guaranteed not to have run,
// or unknown.
#include "harness.h"

using namespace gypsumstep;
using namespace gypsumstep::proxy::test;

TEST_CASE("a write whose answer is lost is never sent again")
{
    harness world;
    world.start();
    const session_id client = world.connect("primary");
    world.send_to_silent("p", client, harness::write());
    world.reset("p");
    const auto answer = world.answer_of(client);
    REQUIRE(answer);
    CHECK(answer->error == error_class::outcome_unknown);
    world.servers["p"].silent = false;
    world.advance_time(2s);
    CHECK(world.commands(command_kind::forward).size() == 1);
}

TEST_CASE("a write without an answer in time has no guarantee that it did not run")
{
    harness world;
    world.start();
    const session_id client = world.connect("primary");
    world.send_to_silent("p", client, harness::write());
    world.advance_time(1100ms);
    const auto answer = world.answer_of(client);
    REQUIRE(answer);
    CHECK(answer->error == error_class::timeout);
    CHECK_FALSE(statement::guarantees_no_effect(answer->error));
    CHECK_FALSE(world.connection_open(world.commands(command_kind::forward)[0].connection));
}

TEST_CASE("a lost commit of a transaction that wrote has an unknown outcome")
{
    harness world;
    const session_id client = world.start_writing_transaction();
    world.send_to_silent("p", client, harness::commit());
    world.reset("p");
    CHECK(world.answer_of(client)->error == error_class::outcome_unknown);
    CHECK(world.answer_of(client)->state == transaction_state::idle);
}

TEST_CASE("a lost commit of a transaction that only read is answered as aborted")
{
    harness world;
    world.start();
    const session_id client = world.connect("primary");
    (void)world.ask(client, harness::begin());
    (void)world.ask(client, harness::read());
    world.send_to_silent("p", client, harness::commit());
    world.reset("p");
    CHECK(world.answer_of(client)->error == error_class::aborted);
}

TEST_CASE("a transaction is aborted when one of its statements is lost")
{
    harness world;
    const session_id client = world.start_writing_transaction();
    world.send_to_silent("p", client, harness::write());
    world.reset("p");
    CHECK(world.answer_of(client)->error == error_class::aborted);
    CHECK(world.servers["p"].writes == 0);
}

TEST_CASE("a read whose server is lost is retried on another one")
{
    harness world;
    world.servers["r2"];
    world.start();
    const session_id client = world.connect("bounded");
    world.servers["r"].silent = true;
    world.send_to_silent("r2", client, harness::read());
    const auto sent = world.commands(command_kind::forward);
    REQUIRE(sent.size() == 1);
    const std::string other = sent[0].server == "r" ? "r2" : "r";
    world.servers[other].silent = false;
    world.reset(sent[0].server);
    CHECK(world.answer_of(client)->signature == "sig-" + other);
}

TEST_CASE("a read that no server answers in time has no effect")
{
    harness world;
    world.start();
    const session_id client = world.connect("bounded");
    (void)world.ask(client, harness::read());
    world.servers["r"].silent = true;
    world.send_to_silent("p", client, harness::read());
    world.advance_time(1100ms);
    REQUIRE(world.answer_of(client));
    CHECK(statement::guarantees_no_effect(world.answer_of(client)->error));
}

TEST_CASE("a statement that a server refused to run is retried by the proxy")
{
    harness world;
    world.start();
    const session_id client = world.connect("primary");
    int refusals = 3;
    world.script =
        [&refusals](const received_command& received) -> std::optional<statement::answer> {
        if (received.command.kind != command_kind::forward || refusals == 0) {
            return std::nullopt;
        }
        --refusals;
        statement::answer content;
        content.error = error_class::busy;
        return content;
    };
    world.answers.clear();
    world.send(client, harness::write());
    world.advance_time(200ms);
    REQUIRE(world.answer_of(client));
    CHECK(world.answer_of(client)->ok());
    CHECK(world.servers["p"].writes == 1);
}

TEST_CASE("a write that failed on a server is answered with the server's error")
{
    harness world;
    world.start();
    const session_id client = world.connect("primary");
    world.script = [](const received_command& received) -> std::optional<statement::answer> {
        if (received.command.kind != command_kind::forward) {
            return std::nullopt;
        }
        statement::answer content;
        content.error = error_class::failed;
        content.error_code = "FAILED";
        return content;
    };
    CHECK(world.ask(client, harness::write())->error == error_class::failed);
    CHECK(world.commands(command_kind::forward).size() == 1);
}

TEST_CASE("a statement that waits for a primary is refused when its timeout is nearly over")
{
    harness world;
    world.servers["p"].primary = false;
    world.start();
    const session_id client = world.connect("primary");
    world.answers.clear();
    world.send(client, harness::write());
    world.advance_time(500ms);
    CHECK_FALSE(world.answer_of(client));
    world.advance_time(500ms);
    REQUIRE(world.answer_of(client));
    CHECK(world.answer_of(client)->error == error_class::busy);
    CHECK(world.commands(command_kind::forward).empty());
}

TEST_CASE("an answer that arrives after its client disconnected changes nothing")
{
    harness world;
    world.start();
    const session_id client = world.connect("primary");
    world.servers["p"].silent = true;
    world.send(client, harness::write());
    const auto sent = world.commands(command_kind::forward);
    world.close(client);
    world.servers["p"].silent = false;
    statement::answer done;
    done.signature = "sig";
    world.answer_late(sent[0], done);
    CHECK(world.connection_open(sent[0].connection));
    const session_id next = world.connect("primary");
    CHECK(world.ask(next, harness::write())->signature == "sig-p");
}

TEST_CASE("an answer without a pending command closes its connection")
{
    harness world;
    world.start();
    const session_id client = world.connect("primary");
    (void)world.ask(client, harness::write());
    const auto sent = world.commands(command_kind::forward);
    world.answer_late(sent[0], {});
    CHECK_FALSE(world.connection_open(sent[0].connection));
}

TEST_CASE("statements that cannot run in time are refused at once with a retry time")
{
    harness world;
    world.start();
    world.servers["p"].silent = true;
    std::vector<session_id> clients;
    std::size_t refused = 0;
    for (int i = 0; i < 300; ++i) {
        const session_id client = world.connect("primary");
        world.answers.clear();
        world.send(client, harness::write());
        if (const auto answer = world.answer_of(client)) {
            CHECK(answer->error == error_class::busy);
            CHECK(answer->error_text.find("retry after") != std::string::npos);
            ++refused;
        }
    }
    CHECK(refused > 0);
    CHECK(refused < 300);
}
