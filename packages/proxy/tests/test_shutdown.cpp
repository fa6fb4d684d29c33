// Tests of the graceful shutdown.
#include "harness.h"

using namespace gypsumstep;
using namespace gypsumstep::proxy::test;

TEST_CASE("a proxy that shuts down is not ready and closes idle sessions gradually")
{
    harness world;
    world.start();
    constexpr std::size_t clients = 20;
    for (std::size_t i = 0; i < clients; ++i) {
        (void)world.connect("own");
    }
    world.proxy_under_test().begin_shutdown(world.now);
    CHECK_FALSE(world.proxy_under_test().ready());
    world.advance_time(500ms);
    CHECK_FALSE(world.closed.empty());
    CHECK(world.closed.size() < clients);
    world.advance_time(2s);
    CHECK(world.closed.size() == clients);
    CHECK(world.stopped);
}

TEST_CASE("a request in flight is answered before its session is closed")
{
    harness world;
    world.start();
    const session_id client = world.connect("primary");
    world.send_to_silent("p", client, harness::write());
    const auto sent = world.commands(command_kind::forward);
    world.proxy_under_test().begin_shutdown(world.now);
    world.advance_time(700ms);
    CHECK_FALSE(world.closed.contains(client));
    statement::answer done;
    done.signature = "sig";
    world.answer_late(sent[0], done);
    CHECK(world.answer_of(client)->ok());
    world.advance_time(3s);
    CHECK(world.closed.contains(client));
    CHECK(world.stopped);
}

TEST_CASE("an open transaction has half of the grace period to end")
{
    harness world;
    const session_id client = world.start_writing_transaction();
    world.proxy_under_test().begin_shutdown(world.now);
    world.advance_time(2800ms);
    CHECK_FALSE(world.closed.contains(client));
    CHECK(world.ask(client, harness::commit())->ok());
    CHECK(world.servers["p"].writes == 1);
    world.advance_time(500ms);
    CHECK(world.closed.contains(client));
}

TEST_CASE("the shutdown completes before the process would be killed")
{
    harness world;
    (void)world.start_writing_transaction();
    world.proxy_under_test().begin_shutdown(world.now);
    world.advance_time(5800ms);
    CHECK(world.stopped);
}

// LOST: a session that never rested for 100 ms was open until the process ended, which cut off its
// statement.
TEST_CASE("a busy session is closed with an answer during a shutdown")
{
    harness world;
    world.start();
    const session_id client = world.connect("own");
    world.proxy_under_test().begin_shutdown(world.now);
    duration passed{0};
    while (!world.closed.contains(client) && passed < 5s) {
        CHECK(world.ask(client, harness::read())->ok());
        if (!world.closed.contains(client)) {
            world.advance_time(40ms);
            passed += 40ms;
        }
    }
    CHECK(passed <= proxy::session_close_window);
    world.advance_time(2s);
    CHECK(world.stopped);
}

TEST_CASE("a session that sent ahead is closed only after its last answer")
{
    harness world;
    world.start();
    world.proxy_under_test().begin_shutdown(world.now);
    world.advance_time(1500ms);
    const session_id client = world.connect("primary");
    world.send_to_silent("p", client, harness::write());
    world.send(client, harness::write());
    world.advance_time(700ms);
    statement::answer done;
    done.signature = "sig";
    REQUIRE(world.commands(command_kind::forward).size() == 1);
    world.answer_late(world.commands(command_kind::forward)[0], done);
    CHECK_FALSE(world.closed.contains(client));
    REQUIRE(world.commands(command_kind::forward).size() == 2);
    world.answer_late(world.commands(command_kind::forward)[1], done);
    CHECK(world.closed.contains(client));
}

// LOST: as above, for a transaction that was busy whenever it was looked at.
TEST_CASE("a busy transaction is closed after half of the grace period")
{
    harness world;
    const session_id client = world.start_writing_transaction();
    world.proxy_under_test().begin_shutdown(world.now);
    world.advance_time(2900ms);
    world.send_to_silent("p", client, harness::write());
    world.advance_time(200ms);
    CHECK_FALSE(world.closed.contains(client));
    statement::answer done;
    done.signature = "sig";
    done.state = transaction_state::open;
    world.answer_late(world.commands(command_kind::forward).back(), done);
    CHECK(world.answer_of(client)->ok());
    CHECK(world.closed.contains(client));
}

// LOST: the process ended without an answer to what was at a server or waited for one.
TEST_CASE("what has no answer at the end of a shutdown is answered with what is known of it")
{
    harness world;
    world.statement_timeout = 4s;
    world.start();
    const session_id transaction = world.connect("primary");
    (void)world.ask(transaction, harness::begin());
    (void)world.ask(transaction, harness::write());
    // Opens a second connection to the primary.
    (void)world.ask(world.connect("primary"), harness::write());
    world.proxy_under_test().begin_shutdown(world.now);
    world.advance_time(2500ms);
    // Leaves a watermark for the read below.
    CHECK(world.ask(world.connect("own"), harness::read())->ok());
    const session_id late_writer = world.connect("primary");
    const session_id late_reader = world.connect("own");
    const session_id late_waiting = world.connect("primary");
    world.servers["r"].silent = true;
    world.servers["p"].silent = true;
    world.send(transaction, harness::commit());
    world.send(late_writer, harness::write());
    world.send(late_reader, harness::read());
    // No connection is free for it.
    world.send(late_waiting, harness::write());
    world.advance_time(3100ms);
    CHECK_FALSE(world.stopped);
    world.advance_time(200ms);
    CHECK(world.stopped);
    CHECK(world.answer_of(transaction)->error == error_class::outcome_unknown);
    CHECK(world.answer_of(late_writer)->error == error_class::outcome_unknown);
    CHECK(world.answer_of(late_reader)->error == error_class::aborted);
    CHECK(world.answer_of(late_waiting)->error == error_class::busy);
    for (const session_id client : {transaction, late_writer, late_reader, late_waiting}) {
        CHECK(world.closed.contains(client));
    }
}

// LOST: a process that waited for other work after its last session had ended cut off a session
// that had connected meanwhile.
TEST_CASE("a session that connects after the last one was closed is served to its end as well")
{
    harness world;
    world.statement_timeout = 5s;
    world.start();
    world.proxy_under_test().begin_shutdown(world.now);
    world.advance_time(2100ms);
    CHECK(world.stopped);
    CHECK_FALSE(world.proxy_under_test().has_sessions());
    const session_id client = world.connect("primary");
    world.send_to_silent("p", client, harness::write());
    CHECK(world.proxy_under_test().has_sessions());
    world.advance_time(3700ms);
    REQUIRE(world.answer_of(client));
    CHECK(world.answer_of(client)->error == error_class::outcome_unknown);
    CHECK_FALSE(world.proxy_under_test().has_sessions());
}

TEST_CASE("a shutdown refuses at once what could not end any more")
{
    harness world;
    world.start();
    world.proxy_under_test().begin_shutdown(world.now);
    world.advance_time(3100ms);
    const session_id transaction = world.connect("primary");
    CHECK(world.ask(transaction, harness::begin())->error == error_class::busy);
    CHECK(world.closed.contains(transaction));
    const session_id single = world.connect("primary");
    CHECK(world.ask(single, harness::write())->ok());
    world.advance_time(1700ms);
    const session_id last = world.connect("primary");
    CHECK(world.ask(last, harness::write())->error == error_class::busy);
    CHECK(world.closed.contains(last));
    CHECK(world.servers["p"].writes == 1);
}
