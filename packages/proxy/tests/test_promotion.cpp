// Tests of replacing a primary: failure detection, survey and promotion steps.
#include "harness.h"

using namespace gypsumstep;
using namespace gypsumstep::proxy::test;

namespace {

template <class T>
std::optional<T> last_step(const harness& world)
{
    std::optional<T> last;
    for (const proxy::promotion_step& step : world.promotions) {
        if (const auto* found = std::get_if<T>(&step.step)) {
            last = *found;
        }
    }
    return last;
}

/// Lets the store answer that no daemon holds a claim.
void answer_store(harness& world, std::vector<promotion::suspicion> suspicions = {})
{
    promotion::shared_state state;
    state.now = promotion::store_time{90'000};
    state.suspicions = std::move(suspicions);
    world.proxy_under_test().on_shared_state("ledger", state, world.now);
    world.advance_time(20ms);
}

/// Lets the store answer that no daemon holds a claim, and take the claim under which replicas are
/// paused.
void grant_survey(harness& world)
{
    answer_store(world);
    const auto claim = last_step<promotion::write_claim>(world);
    REQUIRE(claim);
    REQUIRE(claim->next.target.empty());
    world.proxy_under_test().on_claim_written("ledger", promotion::call_outcome::done, world.now);
    promotion::shared_state state;
    state.now = promotion::store_time{90'000};
    state.current_claim = claim->next;
    state.claim_version = 1;
    world.proxy_under_test().on_shared_state("ledger", state, world.now);
    world.advance_time(20ms);
}

} // namespace

TEST_CASE("a lost primary is replaced by the replica that received most of the log")
{
    harness world;
    world.servers["r2"];
    world.servers["r"].position.index = 99;
    world.start();
    world.servers["p"].reachable = false;
    world.reset("p");
    world.list_servers("p");
    world.advance_time(directory::server_directory::absence_grace);
    world.list_servers("p");
    world.advance_time(800ms);
    REQUIRE(last_step<promotion::read_shared_state>(world));
    answer_store(world);
    const auto claim = last_step<promotion::write_claim>(world);
    REQUIRE(claim);
    CHECK(claim->next.target == "r2");
    CHECK_FALSE(last_step<promotion::order_promotion>(world));
    world.proxy_under_test().on_claim_written("ledger", promotion::call_outcome::done, world.now);
    world.advance_time(20ms);
    CHECK(last_step<promotion::order_promotion>(world)->target == "r2");
}

TEST_CASE("a lapsed entry is no reason to replace a primary that answers")
{
    harness world;
    world.start();
    world.list_servers("p");
    world.advance_time(1s);
    CHECK(world.promotions.empty());
}

TEST_CASE("a draining primary stops taking writes before its replica is promoted")
{
    harness world;
    world.start();
    const session_id client = world.connect("primary");
    (void)world.ask(client, harness::write());
    world.draining.insert("p");
    world.list_servers();
    world.advance_time(400ms);
    answer_store(world);
    CHECK(world.commands(command_kind::demote, "p").size() == 1);
    // The replica has to receive position 101 first.
    CHECK_FALSE(last_step<promotion::write_claim>(world));
    world.servers["r"].position.index = 101;
    world.advance_time(60ms);
    REQUIRE(last_step<promotion::write_claim>(world));
    CHECK(last_step<promotion::write_claim>(world)->next.target == "r");
}

// LOST: the draining replica was not asked for its position, although the primary had counted it
// when it acknowledged commits.
TEST_CASE("with synchronous replicas the log of a draining replica is surveyed as well")
{
    harness world;
    world.servers["d"].position.index = 120;
    world.draining.insert("d");
    world.configure(1, 1);
    world.list_servers();
    const session_id client = world.connect("primary");
    CHECK(world.ask(client, harness::write())->ok());
    world.servers["p"].reachable = false;
    world.reset("p");
    world.list_servers("p");
    world.advance_time(directory::server_directory::absence_grace);
    world.list_servers("p");
    world.advance_time(800ms);
    grant_survey(world);
    CHECK_FALSE(world.commands(command_kind::pause, "r").empty());
    CHECK_FALSE(world.commands(command_kind::pause, "d").empty());
    const auto claim = last_step<promotion::write_claim>(world);
    REQUIRE(claim);
    CHECK(claim->next.target == "d");
}

// LOST: a replica that was known to lack commits of the stopped primary was promoted after a
// survey's timeout.
TEST_CASE("with synchronous replicas a draining primary leads until a replica keeps up with it")
{
    harness world;
    world.configure(1, 1);
    world.list_servers();
    const session_id client = world.connect("primary");
    CHECK(world.ask(client, harness::write())->ok());
    world.draining.insert("p");
    world.list_servers();
    for (int attempt = 0; attempt < 4; ++attempt) {
        world.advance_time(1s);
        answer_store(world);
    }
    CHECK(world.commands(command_kind::demote, "p").empty());
    CHECK_FALSE(last_step<promotion::write_claim>(world));
    CHECK(world.ask(client, harness::write())->ok());

    world.servers["r"].position = world.servers["p"].position;
    for (int attempt = 0; attempt < 2 && !last_step<promotion::write_claim>(world); ++attempt) {
        world.advance_time(1s);
        answer_store(world);
        world.advance_time(100ms);
    }
    CHECK_FALSE(world.commands(command_kind::demote, "p").empty());
    REQUIRE(last_step<promotion::write_claim>(world));
    CHECK(last_step<promotion::write_claim>(world)->next.target == "r");
}

// LOST: replicas that answered before the primary did ended the survey, so that nothing told how
// far the primary's log went.
TEST_CASE("a survey waits for the position of the primary that it stops")
{
    harness world;
    world.start();
    const session_id client = world.connect("primary");
    CHECK(world.ask(client, harness::write())->ok());
    world.draining.insert("p");
    world.list_servers();
    world.servers["p"].silent = true;
    world.advance_time(400ms);
    answer_store(world);
    world.advance_time(100ms);
    const auto demotions = world.commands(command_kind::demote, "p");
    REQUIRE(demotions.size() == 1);
    CHECK_FALSE(world.commands(command_kind::status, "r").empty());
    CHECK_FALSE(last_step<promotion::write_claim>(world));

    statement::server_status status;
    status.known_term = term{1};
    status.received = world.servers["p"].position;
    world.proxy_under_test().on_server_status(demotions[0].connection, status, world.now);
    world.advance_time(100ms);
    CHECK_FALSE(last_step<promotion::write_claim>(world));
    world.servers["r"].position = world.servers["p"].position;
    world.advance_time(100ms);
    REQUIRE(last_step<promotion::write_claim>(world));
    CHECK(last_step<promotion::write_claim>(world)->next.target == "r");
}

// LOST: a daemon that had run nothing of a group did not know its term. Its command to stop the
// primary had no effect, and the answer to it was taken for the end of the primary's log.
TEST_CASE("a daemon that does not know a group's term stops its draining primary all the same")
{
    harness world;
    world.servers["p"].position = {term{4}, 100};
    world.servers["r"].position = {term{4}, 100};
    world.start();
    world.draining.insert("p");
    world.list_servers();
    world.advance_time(400ms);
    answer_store(world);
    world.advance_time(100ms);
    CHECK_FALSE(world.servers["p"].primary);
    REQUIRE(last_step<promotion::write_claim>(world));
}

// LOST: as above, for the command that stops replicas from receiving the log during a survey.
TEST_CASE("a daemon that does not know a group's term pauses its replicas all the same")
{
    harness world;
    world.servers["p"].position = {term{4}, 100};
    world.servers["r"].position = {term{4}, 100};
    world.configure(1, 1);
    world.list_servers();
    world.servers["p"].reachable = false;
    world.reset("p");
    world.list_servers("p");
    world.advance_time(directory::server_directory::absence_grace);
    world.list_servers("p");
    world.advance_time(800ms);
    grant_survey(world);
    world.advance_time(100ms);
    CHECK(world.servers["r"].paused);
    CHECK(last_step<promotion::write_claim>(world)->next.target == "r");
}

TEST_CASE("a frozen process does not suspect the primary for the time it was suspended")
{
    harness world;
    world.start();
    const session_id client = world.connect("primary");
    world.servers["p"].silent = true;
    world.send(client, harness::write());
    world.advance_time(100ms);
    world.now += 5s;
    world.proxy_under_test().on_tick(world.now);
    world.advance_time(300ms);
    // The daemon may read what earlier promotions left; it must not want one itself.
    CHECK(std::all_of(world.promotions.begin(), world.promotions.end(),
                      [](const proxy::promotion_step& next) {
                          return std::holds_alternative<promotion::read_shared_state>(next.step);
                      }));
    CHECK(std::none_of(world.decisions.begin(), world.decisions.end(),
                       [](const proxy::decision& next) {
                           return std::string_view{next.message} == "a promotion is wanted";
                       }));
}

TEST_CASE("replicas paused for a survey are resumed")
{
    harness world;
    world.configure(1, 1);
    world.list_servers();
    world.servers["p"].primary = false;
    world.servers["p"].reachable = false;
    world.reset("p");
    world.list_servers();
    world.advance_time(20ms);
    world.list_servers();
    world.advance_time(800ms);
    grant_survey(world);
    CHECK(world.commands(command_kind::pause, "r").size() == 1);
    CHECK(world.commands(command_kind::resume, "r").empty());
    // Another daemon's claim was first, so this daemon promotes nothing.
    world.proxy_under_test().on_claim_written("ledger", promotion::call_outcome::conflict,
                                              world.now);
    world.advance_time(5s);
    CHECK(world.commands(command_kind::resume, "r").size() == 1);
}

// A group whose replicas all drained when its primary crashed stayed without a leader, and no log
// line told why.
TEST_CASE("a lost primary is replaced while all replicas drain, with and without synchronous ones")
{
    for (const std::uint32_t sync_replicas : {0U, 1U}) {
        harness world;
        world.servers["r2"];
        world.configure(1, sync_replicas);
        world.list_servers();
        world.draining = {"r", "r2"};
        world.list_servers();
        world.servers["p"].reachable = false;
        world.reset("p");
        world.list_servers("p");
        world.advance_time(directory::server_directory::absence_grace);
        world.list_servers("p");
        world.advance_time(800ms);
        REQUIRE(last_step<promotion::read_shared_state>(world));
        if (sync_replicas > 0) {
            grant_survey(world);
        }
        else {
            answer_store(world);
        }
        world.advance_time(100ms);
        const auto claim = last_step<promotion::write_claim>(world);
        REQUIRE(claim);
        CHECK((claim->next.target == "r" || claim->next.target == "r2"));
        // The claim is not written, so the group goes on without a leader.
        world.proxy_under_test().on_claim_written("ledger", promotion::call_outcome::failed,
                                                  world.now);
        world.advance_time(3s);
        const auto told = std::find_if(
            world.decisions.begin(), world.decisions.end(), [](const proxy::decision& next) {
                return std::string_view{next.message} == "a group has no leader";
            });
        CHECK(told != world.decisions.end());
    }
}

// LOST: of two daemons that surveyed a group, the one that gave up let the replicas receive the log
// again while the other one relied on their pause. The log's entries that a replica received then
// were acknowledged, and the server that the other daemon promoted lacked them.
TEST_CASE("paused replicas are not resumed while another daemon may rely on their pause")
{
    harness world;
    world.configure(1, 1);
    world.list_servers();
    world.servers["p"].primary = false;
    world.servers["p"].reachable = false;
    world.reset("p");
    world.list_servers();
    world.advance_time(20ms);
    world.list_servers();
    world.advance_time(800ms);
    grant_survey(world);
    REQUIRE(world.commands(command_kind::pause, "r").size() == 1);
    world.proxy_under_test().on_claim_written("ledger", promotion::call_outcome::conflict,
                                              world.now);
    // This process is suspended until after its lease, in which it would have resumed the replica.
    world.now += 4s;
    world.proxy_under_test().on_tick(world.now);
    promotion::shared_state state;
    state.now = promotion::store_time{94'000};
    state.current_claim = promotion::claim{"front-2", 7, "", state.now, {}};
    state.claim_version = 4;
    const auto answer = [&] {
        for (int tick = 0; tick < 150; ++tick) {
            world.advance_time(20ms);
            world.proxy_under_test().on_shared_state("ledger", state, world.now);
        }
    };
    answer();
    CHECK(world.commands(command_kind::resume, "r").empty());
    // The other daemon's lease has ended, so nobody relies on the pause.
    state.now += promotion::coordinator::claim_lease;
    answer();
    CHECK_FALSE(world.commands(command_kind::resume, "r").empty());
}

// A command to receive the log again that got no answer was not repeated, so the replica stayed
// paused for good.
TEST_CASE("a paused replica is told to receive the log again until it confirms")
{
    harness world;
    world.configure(1, 1);
    world.list_servers();
    world.servers["p"].primary = false;
    world.servers["p"].reachable = false;
    world.reset("p");
    world.list_servers();
    world.advance_time(20ms);
    world.list_servers();
    world.advance_time(800ms);
    grant_survey(world);
    REQUIRE(world.commands(command_kind::pause, "r").size() == 1);
    world.proxy_under_test().on_claim_written("ledger", promotion::call_outcome::conflict,
                                              world.now);
    // The server is busy with other work twice, and confirms then.
    std::size_t refused = 0;
    world.script = [&](const received_command& received) -> std::optional<statement::answer> {
        if (received.command.kind != command_kind::resume || refused == 2) {
            return std::nullopt;
        }
        ++refused;
        statement::answer content;
        content.error = error_class::busy;
        return content;
    };
    const auto answer = [&] {
        promotion::shared_state state;
        state.now = promotion::store_time{99'000};
        for (int tick = 0; tick < 400; ++tick) {
            world.advance_time(20ms);
            world.proxy_under_test().on_shared_state("ledger", state, world.now);
        }
    };
    answer();
    CHECK(refused == 2);
    CHECK(world.commands(command_kind::resume, "r").size() == 3);
    answer();
    CHECK(world.commands(command_kind::resume, "r").size() == 3);
}
