// Tests of replaying session values and prepared statements on a server connection.
#include "gypsumstep/statement/outcome.h"
#include "gypsumstep/statement/session_state.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <vector>

using namespace gypsumstep::statement;

namespace {

/// Acknowledges replay commands until the connection matches; returns how many it took.
std::size_t replay_all(connection_state& connection, const session_state& session,
                       const prepared_statement* needed = nullptr)
{
    std::size_t sent = 0;
    while (const auto command = connection.next_replay(session, needed)) {
        connection.on_acknowledged(*command);
        ++sent;
        REQUIRE(sent < 20);
    }
    return sent;
}

} // namespace

TEST_CASE("a fresh connection receives every value of the session")
{
    session_state session;
    session.set_value("zone", "cet");
    session.set_value("role", "smith");
    connection_state connection;
    CHECK(connection.replay_cost(session) == 2);
    CHECK(replay_all(connection, session) == 2);
    CHECK(connection.replay_cost(session) == 0);
}

TEST_CASE("a value of another session is cleared before a statement runs")
{
    session_state first;
    first.set_value("zone", "cet");
    connection_state connection;
    replay_all(connection, first);

    const session_state second;
    const auto command = connection.next_replay(second, nullptr);
    REQUIRE(command);
    CHECK(command->kind == command_kind::reset);
}

TEST_CASE("a changed value is sent again")
{
    session_state session;
    session.set_value("zone", "cet");
    connection_state connection;
    replay_all(connection, session);
    session.set_value("zone", "utc");
    const auto command = connection.next_replay(session, nullptr);
    REQUIRE(command);
    CHECK(command->kind == command_kind::set);
    CHECK(command->value == "utc");
}

TEST_CASE("sessions that use one name for different shapes do not share a statement")
{
    session_state first;
    first.prepare("s1", {access::read, "q1"});
    session_state second;
    second.prepare("s1", {access::read, "q2"});
    connection_state connection;
    replay_all(connection, first, first.find("s1"));
    const auto command = connection.next_replay(second, second.find("s1"));
    REQUIRE(command);
    CHECK(command->kind == command_kind::prepare);
    CHECK(command->value == "q2");
    connection.on_acknowledged(*command);
    CHECK(connection.name_of(*first.find("s1")) != connection.name_of(*second.find("s1")));
}

// PINNED: a shape with blanks became part of the PREPARE command's name field, so that the command
// redefined the prepared statement of another session.
TEST_CASE("a shape never changes the fields of the command that prepares another statement")
{
    const std::vector<std::string> shapes{"deposit",
                                          "deposit WRITE audit",
                                          "deposit READ audit",
                                          "deposit ",
                                          " deposit",
                                          " ",
                                          "1",
                                          "w_1",
                                          "r_1",
                                          std::string(4096, 'x')};
    connection_state connection;
    std::set<std::string> names;
    for (const std::string& shape : shapes) {
        for (const auto mode : {access::read, access::write}) {
            session_state session;
            session.prepare("s1", {mode, shape});
            const prepared_statement& needed = *session.find("s1");
            const auto command = connection.next_replay(session, &needed);
            REQUIRE(command);
            CHECK(command->value == shape);
            CHECK(command->mode == mode);
            CHECK(command->name.find_first_of(" \r\n") == std::string::npos);
            CHECK(command->name.size() < 32);
            CHECK(names.insert(command->name).second);
            connection.on_acknowledged(*command);
            CHECK(connection.name_of(needed) == command->name);
            CHECK_FALSE(connection.next_replay(session, &needed));
        }
    }
}

TEST_CASE("a statement that is prepared again does not reuse a name that the server may know")
{
    session_state session;
    session.prepare("s1", {access::write, "q1"});
    session.prepare("s2", {access::write, "q2"});
    connection_state connection;
    replay_all(connection, session, session.find("s1"));
    const std::string first = connection.name_of(*session.find("s1"));
    connection.forget(*session.find("s1"));
    replay_all(connection, session, session.find("s2"));
    CHECK(connection.name_of(*session.find("s2")) != first);
}

TEST_CASE("a reset also drops prepared statements")
{
    session_state first;
    first.set_value("zone", "cet");
    first.prepare("s1", {access::write, "q1"});
    connection_state connection;
    replay_all(connection, first, first.find("s1"));

    session_state second;
    second.prepare("other", {access::write, "q1"});
    CHECK(replay_all(connection, second, second.find("other")) == 2);
}

TEST_CASE("a statement that the server lost is prepared again")
{
    session_state session;
    session.prepare("s1", {access::write, "q1"});
    connection_state connection;
    replay_all(connection, session, session.find("s1"));
    connection.forget(*session.find("s1"));
    CHECK(connection.next_replay(session, session.find("s1")));
}

TEST_CASE("only refusals before the run and rollbacks guarantee no effect")
{
    CHECK(guarantees_no_effect(error_class::busy));
    CHECK(guarantees_no_effect(error_class::aborted));
    CHECK_FALSE(guarantees_no_effect(error_class::timeout));
    CHECK_FALSE(guarantees_no_effect(error_class::outcome_unknown));
    CHECK_FALSE(guarantees_no_effect(error_class::failed));
}
