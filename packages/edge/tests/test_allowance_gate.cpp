// Tests of operations that wait for a token: granted, refused, and with a keeper that is silent.
#include "allowance_gate.h"
#include "event_loop.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::edge;
using namespace gypsumstep::edge::test;

namespace {

/// A gate in a domain of its own, whose keeper would be itself, beside a larger daemon that is the
/// keeper and whose answers the test gives.
struct fixture {
    metrics::registry registry;
    std::vector<allowance::token_request> requests;
    std::vector<std::optional<std::string>> decisions;
    allowance_gate gate{settings(), 1, registry,
                        [this](const std::string& daemon, const allowance::message& message) {
                            if (const auto* request =
                                    std::get_if<allowance::token_request>(&message);
                                request != nullptr && daemon == "keeper") {
                                requests.push_back(*request);
                            }
                        }};

    fixture()
    {
        application();
        gate.set_daemons({{"keeper", "a", "127.0.0.1", 1, homes::max_capacity}});
        accounts::account_table table;
        table.add({"acme", 0, 10, 10, {}});
        table.add({"free", 0, 0, 0, {}});
        gate.set_accounts(table);
    }

    static adapter::node_settings settings()
    {
        adapter::node_settings chosen;
        chosen.name = "self";
        chosen.domain = "a";
        chosen.capacity = 1;
        return chosen;
    }

    void start(std::uint64_t session)
    {
        gate.start("acme", session_id{session}, [this](const std::optional<std::string>& refusal) {
            decisions.push_back(refusal);
        });
    }
};

} // namespace

// Guards against operations that run without a token, or never.
TEST_CASE("an operation is held until the keeper grants a token")
{
    fixture daemon;
    CHECK(daemon.gate.is_limited("acme"));
    CHECK_FALSE(daemon.gate.is_limited("free"));
    CHECK_FALSE(daemon.gate.is_limited(""));
    daemon.start(1);
    daemon.start(2);
    REQUIRE(daemon.requests.size() == 1);
    CHECK(daemon.decisions.empty());
    daemon.gate.on_message(allowance::token_answer{daemon.requests[0].number, true, {{1000, {}}}});
    CHECK(daemon.decisions == std::vector<std::optional<std::string>>{std::nullopt});
    // The second one was asked for together with later ones.
    REQUIRE(daemon.requests.size() == 2);
    daemon.gate.cancel(session_id{2});
    daemon.gate.on_message(allowance::token_answer{daemon.requests[1].number, true, {{1000, {}}}});
    CHECK(daemon.decisions.size() == 1);
    // The token of the client that left serves the next operation.
    daemon.start(3);
    CHECK(daemon.decisions.size() == 2);
}

// Guards against refusals that do not say when to return.
TEST_CASE("an operation is refused with a time when the keeper has no token")
{
    fixture daemon;
    daemon.start(1);
    REQUIRE(daemon.requests.size() == 1);
    daemon.gate.on_message(allowance::token_answer{daemon.requests[0].number, true, {{0, 700ms}}});
    REQUIRE(daemon.decisions.size() == 1);
    REQUIRE(daemon.decisions[0].has_value());
    CHECK(daemon.decisions[0]->starts_with("allowance used up; retry after "));
    CHECK(daemon.decisions[0]->ends_with(" ms"));
}

// Guards against sessions that hang while no keeper answers.
TEST_CASE("an operation is refused after a while when the keeper is silent")
{
    fixture daemon;
    daemon.start(1);
    CHECK(run_until([&] { return !daemon.decisions.empty(); }));
    REQUIRE(daemon.decisions.size() == 1);
    CHECK(daemon.decisions[0].has_value());
    CHECK(daemon.requests.size() > 1);
}
