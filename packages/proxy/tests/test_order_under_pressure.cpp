// Tests of who is served and who is refused while connections and slots are short.
#include "harness.h"

using namespace gypsumstep;
using namespace gypsumstep::proxy;
using namespace gypsumstep::proxy::test;

namespace {

accounts::key_digest digest(std::uint8_t value)
{
    accounts::key_digest made;
    made.bytes.back() = value;
    return made;
}

/// A fleet with the accounts "north" (key 1) and "south" (key 2), or without accounts, whose
/// routes have the limit and the target of event-pick.
std::unique_ptr<harness> make_fleet(bool with_accounts)
{
    auto fleet = std::make_unique<harness>();
    if (with_accounts) {
        accounts::account_table table;
        table.add({"north", 1, 10, 10, {digest(1)}});
        table.add({"south", 1, 10, 10, {digest(2)}});
        fleet->accounts = table;
        fleet->key = digest(1);
    }
    fleet->statement_timeout = 4s;
    fleet->target = 500ms;
    fleet->start();
    fleet->advance_time(3s); // the connection limit is raised over time
    return fleet;
}

/// Starts transactions that write once and then rest, until a client is refused or waits.
/// Returns the number of those that hold a connection.
int rest_in_transactions(harness& fleet, int clients)
{
    int holding = 0;
    for (int i = 0; i < clients; ++i) {
        const session_id client = fleet.connect("primary");
        (void)fleet.ask(client, harness::begin());
        fleet.servers["p"].holds_statements = true;
        fleet.log.clear();
        fleet.send(client, harness::write());
        fleet.advance_time(20ms); // the statement occupies a slot for this time
        fleet.servers["p"].holds_statements = false;
        for (const received_command& running : fleet.commands(command_kind::forward, "p")) {
            statement::answer done;
            done.state = transaction_state::open;
            fleet.answer_late(running, done);
            ++holding;
        }
    }
    return holding;
}

/// Returns the time in an answer's text after which the client is to return.
duration retry_after(const statement::answer& refused)
{
    const std::string words = "retry after ";
    const auto found = refused.error_text.find(words);
    REQUIRE(found != std::string::npos);
    return std::chrono::milliseconds{std::stoi(refused.error_text.substr(found + words.size()))};
}

} // namespace

// Load: 18 clients for each of 8 groups (144) rest inside transactions and hold connections to the
// primary. Guards against others that wait for a connection until their target has passed.
TEST_CASE("while clients rest in transactions, others are served or refused at once", "[proxy]")
{
    const auto fleet = make_fleet(true);
    REQUIRE(rest_in_transactions(*fleet, 18) >= 3);
    fleet->advance_time(200ms);
    fleet->key = digest(2);
    std::set<duration> returns;
    for (int i = 0; i < 10; ++i) {
        for (const char* const route : {"primary", "bounded"}) {
            const session_id single = fleet->connect(route);
            const auto served = fleet->ask(single, i % 2 == 0 ? harness::write() : harness::read());
            REQUIRE(served);
            CHECK(served->ok());
        }
        const session_id opening = fleet->connect("primary");
        (void)fleet->ask(opening, harness::begin());
        const auto refused = fleet->ask(opening, harness::write());
        REQUIRE(refused);
        CHECK(refused->error == error_class::busy);
        // The first connection is free when the time limit of idle transactions (3 s) has passed.
        CHECK(retry_after(*refused) >= 1s);
        CHECK(retry_after(*refused) <= 5s);
        returns.insert(retry_after(*refused));
    }
    CHECK(returns.size() == 10); // they don't all return at once
    const std::string message = "refused a statement: resting transactions hold the connections";
    CHECK(std::any_of(fleet->decisions.begin(), fleet->decisions.end(),
                      [&](const decision& each) { return each.message == message; }));
    // A client that returns when it was told is served, before the others of the first account.
    fleet->advance_time(*returns.begin());
    const session_id returned = fleet->connect("primary");
    (void)fleet->ask(returned, harness::begin());
    (void)fleet->ask(returned, harness::write());
    fleet->advance_time(600ms);
    REQUIRE(fleet->answer_of(returned));
    CHECK(fleet->answer_of(returned)->ok());
}

// Load: as above, with clients that were admitted before the transactions came to rest. Guards
// against clients that learn only at the end of their time limit that they are refused.
TEST_CASE("an admitted statement is refused once it can't start before its deadline", "[proxy]")
{
    const auto fleet = make_fleet(true);
    fleet->statement_timeout = 2s;
    fleet->configure(2);
    REQUIRE(rest_in_transactions(*fleet, 3) == 3);
    const session_id opening = fleet->connect("primary");
    (void)fleet->ask(opening, harness::begin());
    CHECK_FALSE(fleet->ask(opening, harness::write()));
    fleet->advance_time(300ms);
    const auto refused = fleet->answer_of(opening);
    REQUIRE(refused);
    CHECK(refused->error == error_class::busy);
    CHECK(retry_after(*refused) >= 1s);
}

// Guards against earlier deployments that are served in another way: without accounts, a
// statement waits for the connection until its time limit.
TEST_CASE("without accounts a statement waits for held connections as before", "[proxy]")
{
    const auto fleet = make_fleet(false);
    REQUIRE(rest_in_transactions(*fleet, 4) == 4);
    const session_id writer = fleet->connect("primary");
    CHECK_FALSE(fleet->ask(writer, harness::write()));
    fleet->advance_time(300ms);
    CHECK_FALSE(fleet->answer_of(writer));
    fleet->advance_time(3s);
    REQUIRE(fleet->answer_of(writer));
    CHECK(fleet->answer_of(writer)->ok());
}

// Load: one account fills the queue of a silent server. Guards against another account that waits
// behind all of it, and against refusals of the other by the first one's queue.
TEST_CASE("an account is served before the backlog of another one", "[proxy]")
{
    const auto fleet = make_fleet(true);
    const session_id warm = fleet->connect("primary");
    (void)fleet->ask(warm, harness::write());
    fleet->servers["p"].holds_statements = true;
    std::size_t refused = 0;
    for (int i = 0; i < 60; ++i) {
        const session_id client = fleet->connect("primary");
        fleet->answers.erase(client);
        fleet->send(client, harness::write());
        refused += fleet->answer_of(client) ? 1 : 0;
    }
    CHECK(refused > 0); // their answers would come after the target
    const auto sent = fleet->commands(command_kind::forward, "p");
    fleet->key = digest(2);
    const session_id other = fleet->connect("primary");
    fleet->answers.erase(other);
    fleet->send(other, harness::write());
    CHECK_FALSE(fleet->answer_of(other));
    fleet->advance_time(40ms); // the statements in flight occupy their slots for this time
    fleet->servers["p"].holds_statements = false;
    fleet->log.clear();
    statement::answer done;
    done.signature = "sig";
    fleet->answer_late(sent.back(), done);
    fleet->advance_time(40ms);
    const auto started = fleet->commands(command_kind::forward, "p");
    std::size_t place = 0;
    while (place < started.size() && fleet->account_of(started[place].connection) != "south") {
        ++place;
    }
    CHECK(place < 4);
    REQUIRE(fleet->answer_of(other));
    CHECK(fleet->answer_of(other)->ok());
}

// Load: reads at a primary whose only replica drains. Guards against an expected wait that counts
// servers which can't run the statement, and so admits twice as many as are answered in time.
TEST_CASE("a draining replica is not part of the capacity", "[proxy]")
{
    const auto fleet = make_fleet(true);
    fleet->draining.insert("r");
    fleet->list_servers();
    (void)fleet->ask(fleet->connect("primary"), harness::write());
    fleet->servers["p"].holds_statements = true;
    for (int i = 0; i < 100; ++i) {
        fleet->send(fleet->connect("bounded"), harness::read());
    }
    // Three statements run at a time, for 30 ms each by the estimate: 40 start within 400 ms, which
    // is 0.8 of the target.
    CHECK(fleet->proxy_under_test().gauges().waiting_statements <= 40);
    CHECK(fleet->proxy_under_test().gauges().waiting_statements >= 20);
}

// Load: clients that leave before their time limit. Guards against slots that run statements
// whose answers nobody awaits.
TEST_CASE("a waiting statement whose client left is dropped", "[proxy]")
{
    const auto fleet = make_fleet(true);
    fleet->servers["p"].silent = true;
    std::vector<session_id> clients;
    for (int i = 0; i < 12; ++i) {
        clients.push_back(fleet->connect("primary"));
        fleet->send(clients.back(), harness::write());
    }
    REQUIRE(fleet->proxy_under_test().gauges().waiting_statements > 0);
    REQUIRE(fleet->proxy_under_test().gauges().waiting_accounts == 1);
    const std::size_t sent = fleet->commands(command_kind::forward, "p").size();
    for (const session_id client : clients) {
        fleet->close(client);
    }
    CHECK(fleet->proxy_under_test().gauges().waiting_statements == 0);
    fleet->servers["p"].silent = false;
    fleet->advance_time(1s);
    CHECK(fleet->commands(command_kind::forward, "p").size() == sent);
}
