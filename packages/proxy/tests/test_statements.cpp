// Tests of sessions and of statements outside transactions.
#include "harness.h"

using namespace gypsumstep;
using namespace gypsumstep::proxy::test;

TEST_CASE("a session starts only for a database that has a route")
{
    harness world;
    world.start();
    const session_id good = world.connect("own");
    CHECK(world.answer_of(good)->ok());
    const session_id bad = world.connect("nowhere");
    CHECK(world.answer_of(bad)->error == error_class::unknown_database);
    CHECK(world.closed.contains(bad));
}

TEST_CASE("a write runs once, on the primary, with its text and id")
{
    harness world;
    world.start();
    const session_id client = world.connect("primary");
    const auto answer = world.ask(client, harness::write());
    REQUIRE(answer);
    CHECK(answer->signature == "sig-p");
    CHECK(world.servers["p"].writes == 1);
    const auto sent = world.commands(command_kind::forward);
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].command.text == "WRITE a b");
    CHECK(sent[0].command.id == "q1");
}

TEST_CASE("session values and prepared statements are answered by the proxy itself")
{
    harness world;
    world.start();
    const session_id client = world.connect("own");
    CHECK(world.ask(client, harness::set("zone", "cet"))->ok());
    CHECK(world.ask(client, harness::prepare("s1", statement::access::read, "q1"))->ok());
    CHECK(world.log.empty());
    CHECK(world.ask(client, harness::make(verb::close, "CLOSE s2"))->error ==
          error_class::unknown_name);
}

TEST_CASE("a statement runs on a connection that has its session's values")
{
    harness world;
    world.start();
    const session_id first = world.connect("primary");
    const session_id second = world.connect("primary");
    (void)world.ask(first, harness::set("zone", "cet"));
    CHECK(world.ask(first, harness::write())->ok());
    REQUIRE(world.commands(command_kind::set, "p").size() == 1);

    // The second session never set the value, so a connection that has it is reset first.
    CHECK(world.ask(second, harness::write())->ok());
    const auto resets = world.commands(command_kind::reset, "p");
    const auto forwards = world.commands(command_kind::forward, "p");
    const bool same_connection = forwards[0].connection == forwards[1].connection;
    CHECK(resets.size() == (same_connection ? 1 : 0));
}

TEST_CASE("two sessions may use the same name for different prepared statements")
{
    harness world;
    world.start();
    const session_id first = world.connect("primary");
    const session_id second = world.connect("primary");
    (void)world.ask(first, harness::prepare("s1", statement::access::write, "q1"));
    (void)world.ask(second, harness::prepare("s1", statement::access::write, "q2"));
    CHECK(world.ask(first, harness::execute("s1"))->ok());
    CHECK(world.ask(second, harness::execute("s1"))->ok());
    const auto sent = world.commands(command_kind::forward);
    REQUIRE(sent.size() == 2);
    CHECK(sent[0].command.name != sent[1].command.name);
}

// PINNED: the second PREPARE redefined the first session's statement on the server connection.
TEST_CASE("a shape with blanks does not redefine another session's prepared statement")
{
    harness world;
    world.start();
    // What each prepared name runs on a server connection, by the fields of the commands.
    std::map<std::pair<proxy::server_connection_id, std::string>, std::string> prepared;
    std::vector<std::string> executed;
    world.script = [&](const received_command& received) -> std::optional<statement::answer> {
        const statement::server_command& command = received.command;
        if (command.kind == command_kind::prepare) {
            const std::string fields = command.name + " WRITE " + command.value;
            const std::size_t blank = fields.find(' ');
            prepared[{received.connection, fields.substr(0, blank)}] = fields.substr(blank + 1);
        }
        if (command.kind == command_kind::forward) {
            executed.push_back(prepared[{received.connection, command.name}]);
        }
        return std::nullopt;
    };
    const session_id first = world.connect("primary");
    const session_id second = world.connect("primary");
    (void)world.ask(first, harness::prepare("s1", statement::access::write, "deposit"));
    (void)world.ask(second, harness::prepare("s1", statement::access::write, "deposit WRITE b"));
    CHECK(world.ask(first, harness::execute("s1"))->ok());
    CHECK(world.ask(second, harness::execute("s1"))->ok());
    CHECK(world.ask(first, harness::execute("s1"))->ok());
    CHECK(executed ==
          std::vector<std::string>{"WRITE deposit", "WRITE deposit WRITE b", "WRITE deposit"});
}

TEST_CASE("a prepared statement that the server lost is prepared again")
{
    harness world;
    world.start();
    const session_id client = world.connect("primary");
    (void)world.ask(client, harness::prepare("s1", statement::access::write, "q1"));
    bool lost = false;
    world.script = [&lost](const received_command& received) -> std::optional<statement::answer> {
        if (received.command.kind != command_kind::forward || lost) {
            return std::nullopt;
        }
        lost = true;
        statement::answer content;
        content.error = error_class::unknown_name;
        return content;
    };
    CHECK(world.ask(client, harness::execute("s1"))->ok());
    CHECK(world.commands(command_kind::prepare).size() == 2);
}

TEST_CASE("statements sent ahead of answers run one after the other")
{
    harness world;
    world.start();
    const session_id client = world.connect("primary");
    world.servers["p"].silent = true;
    world.send(client, harness::write());
    world.send(client, harness::write());
    const auto sent = world.commands(command_kind::forward);
    REQUIRE(sent.size() == 1);
    statement::answer done;
    done.signature = "sig";
    world.servers["p"].silent = false;
    world.answer_late(sent[0], done);
    CHECK(world.commands(command_kind::forward).size() == 2);
}

TEST_CASE("a statement on a removed route is refused")
{
    harness world;
    world.start();
    const session_id client = world.connect("primary");
    directory::configuration empty;
    empty.version = config_version{2};
    world.proxy_under_test().on_configuration(empty, world.now);
    CHECK(world.ask(client, harness::write())->error == error_class::unknown_database);
    CHECK(world.servers["p"].writes == 0);
}

TEST_CASE("an unknown statement is malformed and reaches no server")
{
    harness world;
    world.start();
    const session_id client = world.connect("primary");
    CHECK(world.ask(client, harness::make(verb::unknown, "DROP"))->error == error_class::malformed);
    CHECK(world.log.empty());
}

TEST_CASE("a client that pipelines too many statements is disconnected")
{
    harness world;
    world.start();
    const session_id client = world.connect("primary");
    world.servers["p"].silent = true;
    for (int i = 0; i < 20; ++i) {
        world.send(client, harness::write());
    }
    CHECK(world.closed.contains(client));
}
