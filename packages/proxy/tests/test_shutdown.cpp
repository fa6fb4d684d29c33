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
