// Tests of client accounts: who may use a route, and on which server connections statements run.
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

accounts::account_table two_accounts()
{
    accounts::account_table table;
    table.add({"north", 1, 10, 10, {digest(1)}});
    table.add({"south", 1, 10, 10, {digest(2)}});
    return table;
}

/// A harness with two client accounts in its configuration.
harness with_accounts()
{
    options chosen = harness::make_options();
    chosen.accounts_required = true;
    return harness{std::move(chosen)};
}

} // namespace

// Guards against a statement that runs on a connection of another client account.
TEST_CASE("A server connection serves one client account only", "[proxy]")
{
    harness fleet = with_accounts();
    fleet.accounts = two_accounts();
    fleet.start();
    for (int round = 0; round < 8; ++round) {
        const bool north = round % 2 == 0;
        fleet.key = digest(north ? 1 : 2);
        fleet.log.clear();
        const session_id client = fleet.connect("primary");
        const auto answer = fleet.ask(client, harness::write());
        REQUIRE(answer);
        CHECK(answer->ok());
        for (const received_command& command : fleet.commands(command_kind::forward)) {
            CHECK(fleet.account_of(command.connection) == (north ? "north" : "south"));
        }
        fleet.close(client);
    }
}

// Guards against accounts that wait forever because idle connections of others use up the limit.
TEST_CASE("An idle connection of another account is closed when the limit is reached", "[proxy]")
{
    harness fleet = with_accounts();
    accounts::account_table table;
    for (std::uint8_t number = 1; number <= 12; ++number) {
        table.add({"account" + std::to_string(number), 1, 10, 10, {digest(number)}});
    }
    fleet.accounts = table;
    fleet.start();
    for (std::uint8_t number = 1; number <= 12; ++number) {
        fleet.key = digest(number);
        const auto answer = fleet.ask(fleet.connect("primary"), harness::write());
        REQUIRE(answer);
        CHECK(answer->ok());
    }
}

// Guards against clients without a valid key that get in, and against keys that outlive their
// removal on open sessions.
TEST_CASE("A removed key ends at the next operation of an open session", "[proxy]")
{
    harness fleet = with_accounts();
    fleet.accounts = two_accounts();
    fleet.start();
    fleet.key = digest(9);
    CHECK(fleet.answer_of(fleet.connect("primary"))->error == error_class::unauthorized);
    fleet.key = digest(1);
    const session_id client = fleet.connect("primary");
    CHECK(fleet.answer_of(client)->ok());
    CHECK(fleet.ask(client, harness::begin())->ok());
    CHECK(fleet.ask(client, harness::write())->ok());
    accounts::account_table without;
    without.add({"south", 1, 10, 10, {digest(2)}});
    fleet.accounts = without;
    fleet.configure(2);
    // The transaction that runs may end.
    CHECK(fleet.ask(client, harness::write())->ok());
    CHECK(fleet.ask(client, harness::commit())->ok());
    fleet.log.clear();
    CHECK(fleet.ask(client, harness::write())->error == error_class::unauthorized);
    CHECK(fleet.ask(client, harness::begin())->error == error_class::unauthorized);
    CHECK(fleet.commands(command_kind::forward).empty());
}

// Guards against statements inside a transaction, or without effect on servers, that are counted
// against the limit of an account, and against operations that are not.
TEST_CASE("The account of an operation is known at its start only", "[proxy]")
{
    harness fleet = with_accounts();
    fleet.accounts = two_accounts();
    fleet.start();
    fleet.key = digest(1);
    const session_id client = fleet.connect("primary");
    const auto& tested = fleet.proxy_under_test();
    using statement::verb;
    for (const verb kind :
         {verb::begin, verb::begin_read_only, verb::read, verb::write, verb::execute}) {
        CHECK(tested.account_of_operation(client, kind) == "north");
    }
    for (const verb kind :
         {verb::set, verb::prepare, verb::close, verb::commit, verb::rollback, verb::unknown}) {
        CHECK_FALSE(tested.account_of_operation(client, kind));
    }
    (void)fleet.ask(client, harness::begin());
    CHECK_FALSE(tested.account_of_operation(client, verb::read));
    (void)fleet.ask(client, harness::rollback());
    CHECK_FALSE(tested.is_running_statement(client));
    fleet.proxy_under_test().refuse_operation(client, "allowance used up; retry after 5 ms",
                                              fleet.now);
    const auto answer = fleet.ask(client, harness::write());
    REQUIRE(answer);
    CHECK(answer->ok());
    // A removed key: on_client_statement() refuses the operation.
    fleet.accounts = accounts::account_table{};
    fleet.configure(2);
    CHECK_FALSE(tested.account_of_operation(client, verb::read));
}

// Guards against a daemon that keeps idle connections of little use while a server has too many,
// so that a restarted daemon finds no room.
TEST_CASE("A refusal for too many connections closes idle ones of little use", "[proxy]")
{
    harness fleet = with_accounts();
    accounts::account_table table;
    for (std::uint8_t number = 1; number <= 5; ++number) {
        table.add({"account" + std::to_string(number), 1, 10, 10, {digest(number)}});
    }
    fleet.accounts = table;
    fleet.start();
    fleet.advance_time(5s);
    for (std::uint8_t number = 1; number <= 4; ++number) {
        fleet.key = digest(number);
        CHECK(fleet.ask(fleet.connect("primary"), harness::write())->ok());
    }
    fleet.advance_time(60s);
    const auto open_at_primary = [&] {
        std::vector<server_connection_id> open;
        for (std::uint64_t id = 1; id < 20; ++id) {
            if (fleet.connection_open(server_connection_id{id}) &&
                fleet.server_of(server_connection_id{id}) == "p") {
                open.emplace_back(id);
            }
        }
        return open;
    };
    REQUIRE(open_at_primary().size() == 4);
    fleet.key = digest(5);
    fleet.send_to_silent("p", fleet.connect("primary"), harness::write());
    statement::answer refusal;
    refusal.error = error_class::too_many;
    fleet.answer_late({"p", open_at_primary().back(), {}}, refusal);
    CHECK(open_at_primary().size() == 2);
}
