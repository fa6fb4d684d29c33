// Tests of stopping without cutting requests.
#include "harness.h"

using namespace gypsumstep;
using namespace gypsumstep::proxy::test;

TEST_CASE("a stopping proxy is not ready and closes idle sessions bit by bit")
{
    harness world;
    world.start();
    constexpr std::size_t clients = 20;
    for (std::size_t i = 0; i < clients; ++i) {
        (void)world.connect("own");
    }
    world.tested().begin_shutdown(world.now);
    CHECK_FALSE(world.tested().ready());
    world.pass(500ms);
    CHECK_FALSE(world.closed.empty());
    CHECK(world.closed.size() < clients);
    world.pass(2s);
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
    world.tested().begin_shutdown(world.now);
    world.pass(700ms);
    CHECK_FALSE(world.closed.contains(client));
    statement::answer done;
    done.signature = "sig";
    world.answer_late(sent[0], done);
    CHECK(world.answer_of(client)->ok());
    world.pass(3s);
    CHECK(world.closed.contains(client));
    CHECK(world.stopped);
}

TEST_CASE("an open transaction has half of the grace period to end")
{
    harness world;
    const session_id client = world.start_writing_transaction();
    world.tested().begin_shutdown(world.now);
    world.pass(2800ms);
    CHECK_FALSE(world.closed.contains(client));
    CHECK(world.ask(client, harness::commit())->ok());
    CHECK(world.servers["p"].writes == 1);
    world.pass(500ms);
    CHECK(world.closed.contains(client));
}

TEST_CASE("the process ends before it is killed")
{
    harness world;
    (void)world.start_writing_transaction();
    world.tested().begin_shutdown(world.now);
    world.pass(5800ms);
    CHECK(world.stopped);
}
