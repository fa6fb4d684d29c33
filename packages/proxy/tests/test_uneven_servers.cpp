// Tests of servers that fail, lag, flap or are silent: which reads they still get, and what their
// clients see. Each names the failure that it guards against.
#include "harness.h"

#include "gypsumstep/base/random.h"

using namespace gypsumstep;
using namespace gypsumstep::proxy::test;

namespace {

/// A group of a primary and two replicas under a steady load of reads.
class read_load {
public:
    read_load()
    {
        world.servers["r2"];
        world.start();
        client = world.connect("bounded");
        world.advance_time(3s); // until enough connections are open
    }

    /// Sends a read each 20 ms and counts those that were not answered with success.
    void run(duration time)
    {
        for (const time_point end = world.now + time; world.now < end;) {
            const auto answer = world.ask(client, harness::read());
            ++sent;
            for (int i = 0; i < 50 && !world.answer_of(client); ++i) {
                world.advance_time(20ms);
            }
            failed += world.answer_of(client) && world.answer_of(client)->ok() ? 0 : 1;
            world.advance_time(20ms);
        }
    }

    std::size_t reads_at(const std::string& server) const
    {
        return world.commands(command_kind::forward, server).size();
    }

    /// Lets a server fail a share of its statements; its START and BEGIN succeed.
    void fail_share(std::set<std::string> failing, std::uint64_t per_cent)
    {
        world.script = [this, failing = std::move(failing), per_cent](
                           const received_command& received) -> std::optional<statement::answer> {
            if (received.command.kind != command_kind::forward ||
                !failing.contains(received.server) || random.below(100) >= per_cent) {
                return std::nullopt;
            }
            statement::answer content;
            content.error = error_class::failed;
            return content;
        };
    }

    std::size_t decisions(const std::string& message) const
    {
        return static_cast<std::size_t>(
            std::count_if(world.decisions.begin(), world.decisions.end(),
                          [&](const auto& decision) { return decision.message == message; }));
    }

    harness world;
    session_id client;
    random_source random{7};
    std::size_t sent{0};
    std::size_t failed{0};
};

} // namespace

// Failure: a server fails 45 % of its reads while its check is good.
TEST_CASE("a server that fails 45 % of its reads gets few of them, and all again once it is good")
{
    read_load load;
    load.run(2s);
    const std::string used = load.reads_at("r") > load.reads_at("r2") ? "r" : "r2";
    load.fail_share({used}, 45);
    load.run(2s);
    const std::size_t before = load.reads_at(used);
    load.sent = 0;
    load.run(10s);
    CHECK(load.failed == 0);
    CHECK((load.reads_at(used) - before) * 5 < load.sent);
    CHECK(load.decisions("avoiding a backend server") >= 1);
    load.world.script = nullptr;
    load.run(4s);
    CHECK(load.world.proxy_under_test().gauges().avoided_servers == 0);
    const std::size_t recovered = load.reads_at(used);
    load.sent = 0;
    load.run(1s);
    CHECK((load.reads_at(used) - recovered) * 2 > load.sent);
}

// Failure: all servers of a group fail a part of their reads.
TEST_CASE("if all servers of a group look bad, all are used")
{
    read_load load;
    load.fail_share({"p", "r", "r2"}, 60);
    load.run(10s);
    CHECK(load.world.proxy_under_test().gauges().avoided_servers == 3);
    const std::size_t before = load.reads_at("p") + load.reads_at("r") + load.reads_at("r2");
    load.sent = 0;
    load.run(2s);
    const std::size_t used = load.reads_at("p") + load.reads_at("r") + load.reads_at("r2") - before;
    // A read each 20 ms, and none waits for a probe.
    CHECK(load.sent >= 95);
    CHECK(used >= load.sent);
    // Failure: retries that multiply the load of servers which fail it. The budget may hold 20.
    CHECK(used <= load.sent + load.sent * 2 / 10 + 20);
}

// Failure: a server goes down and up each 1.4 s.
TEST_CASE("a flapping server costs no read and gets fewer of them each time")
{
    read_load load;
    load.run(1s);
    const std::string used = load.reads_at("r") > load.reads_at("r2") ? "r" : "r2";
    const std::size_t before = load.reads_at(used);
    load.sent = 0;
    for (int i = 0; i < 8; ++i) {
        load.world.servers[used].reachable = i % 2 == 1;
        if (i % 2 == 0) {
            load.world.reset(used);
        }
        load.run(1400ms);
    }
    CHECK(load.failed == 0);
    CHECK((load.reads_at(used) - before) * 4 < load.sent);
}

// Failure: a replica lags for 6 s.
TEST_CASE("a replica that lags for six seconds costs no read and is asked rarely")
{
    read_load load;
    load.run(1s);
    const std::string used = load.reads_at("r") > load.reads_at("r2") ? "r" : "r2";
    const session_id writer = load.world.connect("primary");
    const std::size_t before = load.reads_at(used);
    std::size_t lagging_at = load.world.servers[used].position.index;
    for (int i = 0; i < 60; ++i) {
        CHECK(load.world.ask(writer, harness::write())->ok());
        for (auto& [name, server] : load.world.servers) {
            if (name != used) {
                server.position = load.world.servers["p"].position;
            }
        }
        load.run(100ms);
    }
    CHECK(load.failed == 0);
    CHECK(load.world.servers[used].position.index == lagging_at);
    // The first reads may still be fresh enough there; later ones ask it once in 320 ms.
    CHECK(load.reads_at(used) - before < 1500 / 20 + 6000 / 320 + 10);
}

// Failure: a read waits at a silent server until its timeout.
TEST_CASE("a read at a silent server is moved within a fraction of its timeout, and no more follow")
{
    read_load load;
    load.world.statement_timeout = 800ms;
    load.world.configure(2);
    load.run(200ms); // too few reads for one of them to be hedged
    const std::string used = load.reads_at("r") > load.reads_at("r2") ? "r" : "r2";
    load.world.servers[used].silent = true;
    load.world.answers.clear();
    load.world.send(load.client, harness::read());
    load.world.advance_time(260ms);
    REQUIRE(load.world.answer_of(load.client));
    CHECK(load.world.answer_of(load.client)->ok());
    const std::size_t before = load.reads_at(used);
    load.run(400ms);
    CHECK(load.reads_at(used) == before);
    CHECK(load.failed == 0);
}

// Failure: writes are sent to a silent primary until each times out, with unknown outcomes.
TEST_CASE("a write is not sent to a primary that is silent, and runs once it answers")
{
    harness world;
    world.statement_timeout = 6s;
    world.start();
    const session_id first = world.connect("primary");
    const session_id second = world.connect("primary");
    const session_id third = world.connect("primary");
    world.advance_time(3s); // until three connections are allowed
    // Each session holds a connection, so that two stay idle: for the probe and for a write.
    for (const session_id session : {first, second, third}) {
        (void)world.ask(session, harness::begin());
        REQUIRE(world.ask(session, harness::write())->ok());
    }
    for (const session_id session : {first, second, third}) {
        (void)world.ask(session, harness::rollback());
    }
    world.log.clear();
    world.send_to_silent("p", first, harness::write());
    world.advance_time(300ms);
    world.send(second, harness::write());
    world.advance_time(100ms);
    CHECK(world.commands(command_kind::forward, "p").size() == 1);
    const auto probes = world.commands(command_kind::begin, "p");
    REQUIRE_FALSE(probes.empty());
    world.servers["p"].silent = false;
    statement::answer begun;
    begun.state = transaction_state::open;
    begun.position = world.servers["p"].position;
    world.answer_late(probes.back(), begun);
    world.advance_time(100ms);
    REQUIRE(world.answer_of(second));
    CHECK(world.answer_of(second)->ok());
    CHECK(world.commands(command_kind::forward, "p").size() == 2);
}

// Failure: a write that a server failed may have run, so it must not be sent again.
TEST_CASE("a write that was sent is never retried, also if its server is judged bad")
{
    read_load load;
    load.fail_share({"p"}, 100);
    const session_id writer = load.world.connect("primary");
    for (int i = 0; i < 10; ++i) {
        const std::size_t before = load.reads_at("p");
        CHECK(load.world.ask(writer, harness::write())->error == error_class::failed);
        CHECK(load.reads_at("p") == before + 1);
    }
}

// Failure: PINNED in the fault soak, seed 9401: a read-only transaction whose first read was sent
// twice ran in two transactions of servers.
TEST_CASE("the first read of a read-only transaction is sent once, whatever its server does")
{
    for (const bool fails : {true, false}) {
        CAPTURE(fails);
        read_load load;
        load.run(200ms);
        (void)load.world.ask(load.client, harness::begin_read());
        std::size_t sent = 0;
        load.world.script = [&](const received_command& received) {
            std::optional<statement::answer> content;
            if (received.command.kind == command_kind::forward) {
                ++sent;
                load.world.servers[received.server].silent = true;
                if (fails) {
                    content.emplace().error = error_class::failed;
                    content->state = transaction_state::failed;
                }
            }
            return content;
        };
        (void)load.world.ask(load.client, harness::read());
        load.world.advance_time(2s);
        REQUIRE(load.world.answer_of(load.client));
        CHECK(load.world.answer_of(load.client)->error == error_class::aborted);
        CHECK(sent == 1);
    }
}

// Failure: a BEGIN of a read-only transaction waits at a silent server, though nothing depends on
// it.
TEST_CASE("a read-only transaction that a silent server did not begin starts on another one")
{
    read_load load;
    load.run(200ms);
    const std::string used = load.reads_at("r") > load.reads_at("r2") ? "r" : "r2";
    load.world.servers[used].silent = true;
    (void)load.world.ask(load.client, harness::begin_read());
    load.world.answers.clear();
    load.world.send(load.client, harness::read());
    load.world.advance_time(300ms);
    REQUIRE(load.world.answer_of(load.client));
    CHECK(load.world.answer_of(load.client)->ok());
    CHECK(load.world.ask(load.client, harness::commit())->ok());
}
