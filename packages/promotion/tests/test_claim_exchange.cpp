// Tests of the exchange of claims: who may lead, permits, and the hand-over of the lead.
#include "gypsumstep/promotion/claim_exchange.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::promotion;

namespace {

const time_point start{100s};

/// Daemons whose messages arrive at once, unless their receiver is unreachable.
struct exchanges {
    std::map<std::string, claim_exchange, std::less<>> daemons;
    std::set<std::string> unreachable;
    time_point now{start};

    explicit exchanges(const std::vector<std::string>& names)
    {
        for (const std::string& name : names) {
            std::vector<peer> others;
            for (const std::string& other : names) {
                if (other != name) {
                    others.push_back({other, false});
                }
            }
            daemons.emplace(name, claim_exchange{name, daemons.size() + 1});
            daemons.at(name).set_daemons(others);
            daemons.at(name).follow("ledger");
            daemons.at(name).on_store_read("ledger", {}, now);
        }
    }

    claim_exchange& operator[](const std::string& name) { return daemons.at(name); }

    /// Advances time; each daemon follows new claims at once.
    void run(duration time)
    {
        const time_point end = now + time;
        while (now < end) {
            now += 20ms;
            for (auto& [name, daemon] : daemons) {
                daemon.on_tick(now);
            }
            deliver();
        }
    }

    void deliver()
    {
        for (bool any = true; any;) {
            any = false;
            for (auto& [name, daemon] : daemons) {
                for (const outgoing_message& message : daemon.take_messages(now)) {
                    if (daemons.contains(message.receiver) && !unreachable.contains(name) &&
                        !unreachable.contains(message.receiver)) {
                        any = true;
                        receive(daemons.at(message.receiver), message.content);
                    }
                }
            }
        }
    }

    void receive(claim_exchange& receiver, const peer_message& message)
    {
        receiver.on_message(message, now);
        for (const std::string& service : receiver.unreleased()) {
            receiver.release({service, receiver.newest(service)->token, demoted, position});
        }
    }

    /// Makes a daemon claim the lead and start a hand-over.
    void claim(const std::string& name, std::uint64_t token, const std::string& former)
    {
        daemons.at(name).learn({"ledger", token, ""});
        daemons.at(name).begin_hand_over("ledger", former, now);
        daemons.at(name).release({"ledger", token, "", {}});
    }

    std::string demoted; ///< by every other daemon
    std::optional<log_position> position;
};

} // namespace

TEST_CASE("without a claim any server may lead, with one only its target")
{
    claim_exchange daemon{"d1", 1};
    CHECK(daemon.allows("ledger", "p"));
    daemon.learn({"ledger", 3, "r"});
    CHECK_FALSE(daemon.allows("ledger", "p"));
    CHECK(daemon.allows("ledger", "r"));
    daemon.learn({"ledger", 2, "p"}); // older
    CHECK(daemon.allows("ledger", "r"));
    daemon.learn({"ledger", 4, ""});
    CHECK_FALSE(daemon.allows("ledger", "r"));
    CHECK_FALSE(daemon.allows("ledger", ""));
}

TEST_CASE("primaries are used only after the store was read, and while others answer")
{
    exchanges fleet{{"d1", "d2"}};
    claim_exchange fresh{"d3", 1};
    CHECK_FALSE(fresh.is_permitted("ledger", fleet.now));
    CHECK(fresh.needs_store_read("ledger", fleet.now));
    CHECK(fleet["d1"].is_permitted("ledger", fleet.now));
    fleet.run(10s);
    CHECK(fleet["d1"].is_permitted("ledger", fleet.now));
    CHECK_FALSE(fleet["d1"].needs_store_read("ledger", fleet.now));

    fleet.unreachable = {"d1"};
    fleet.run(claim_exchange::store_read_interval + claim_exchange::ask_interval);
    CHECK(fleet["d1"].needs_store_read("ledger", fleet.now));
    fleet.run(claim_exchange::permit_lifetime);
    CHECK_FALSE(fleet["d1"].is_permitted("ledger", fleet.now));
    fleet["d1"].on_store_read("ledger", {}, fleet.now);
    CHECK(fleet["d1"].is_permitted("ledger", fleet.now));
}

TEST_CASE("a permit counts from the question, not from its answer")
{
    claim_exchange daemon{"d1", 1};
    daemon.set_daemons({{"d2", true}});
    daemon.follow("ledger");
    daemon.on_store_read("ledger", {}, start - 1min);
    daemon.on_tick(start);
    const auto questions = daemon.take_messages(start);
    REQUIRE_FALSE(questions.empty());
    peer_message answer;
    answer.sender = "d2";
    answer.number = questions[0].content.number;
    answer.is_answer = true;
    // This daemon was suspended before it read the answer.
    const time_point later = start + claim_exchange::permit_lifetime;
    daemon.on_message(answer, later);
    CHECK_FALSE(daemon.is_permitted("ledger", later));
    // An answer to no question says nothing.
    answer.number = 99;
    daemon.on_message(answer, later);
    CHECK_FALSE(daemon.is_permitted("ledger", later));
}

TEST_CASE("a hand-over ends once all daemons confirm")
{
    exchanges fleet{{"d1", "d2", "d3"}};
    fleet.run(1s);
    fleet.claim("d1", 1, "p");
    CHECK_FALSE(fleet["d1"].finish_hand_over("ledger", fleet.now));
    fleet.run(40ms);
    CHECK(fleet["d1"].finish_hand_over("ledger", fleet.now) == hand_over_result{});
    CHECK_FALSE(fleet["d3"].allows("ledger", "p"));
    // It ends once.
    CHECK_FALSE(fleet["d1"].finish_hand_over("ledger", fleet.now));
}

TEST_CASE("a hand-over waits for a silent daemon until its permit has run out")
{
    exchanges fleet{{"d1", "d2", "d3"}};
    fleet.run(1s);
    fleet.unreachable = {"d3"};
    fleet.claim("d1", 1, "p");
    fleet.run(claim_exchange::permit_lifetime);
    CHECK_FALSE(fleet["d1"].finish_hand_over("ledger", fleet.now));
    CHECK_FALSE(fleet["d3"].is_permitted("ledger", fleet.now));
    fleet.run(claim_exchange::release_timeout - claim_exchange::permit_lifetime);
    CHECK(fleet["d1"].finish_hand_over("ledger", fleet.now));
}

TEST_CASE("a hand-over waits for no daemon once the former primary takes no writes")
{
    exchanges fleet{{"d1", "d2", "d3"}};
    fleet.unreachable = {"d3"};
    fleet.position = log_position{term{2}, 50};
    fleet.demoted = "another";
    fleet.claim("d1", 1, "p");
    fleet.run(40ms);
    CHECK_FALSE(fleet["d1"].finish_hand_over("ledger", fleet.now));
    fleet.demoted = "p";
    fleet.claim("d1", 2, "p");
    fleet.run(40ms);
    CHECK(fleet["d1"].finish_hand_over("ledger", fleet.now) == hand_over_result{fleet.position});
}

TEST_CASE("a hand-over waits for daemons that only others know")
{
    exchanges fleet{{"d1", "d2", "d3"}};
    fleet["d1"].set_daemons({{"d2", false}});
    fleet["d2"].set_daemons({{"d1", false}});
    fleet["d3"].set_daemons({{"d2", false}});
    fleet.run(1s);
    // The new daemon d3 has asked d2, which told it of no claim.
    fleet.unreachable = {"d3"};
    fleet.claim("d1", 1, "p");
    fleet.run(100ms);
    CHECK_FALSE(fleet["d1"].finish_hand_over("ledger", fleet.now));
    fleet.run(claim_exchange::release_timeout);
    CHECK(fleet["d1"].finish_hand_over("ledger", fleet.now));
}

TEST_CASE("a daemon learns of a claim from any other that knows it")
{
    exchanges fleet{{"d1", "d2", "d3"}};
    fleet.unreachable = {"d3"};
    fleet.claim("d1", 1, "p");
    fleet.run(100ms);
    fleet.unreachable = {"d1"};
    fleet.run(claim_exchange::ask_interval * 2);
    CHECK_FALSE(fleet["d3"].allows("ledger", "p"));
}
