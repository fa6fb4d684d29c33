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
            daemons.emplace(name, claim_exchange{name, daemons.size() + 1});
            daemons.at(name).set_daemons(names);
            daemons.at(name).follow("ledger");
            daemons.at(name).on_claims_read({}, now);
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
                if (!store_away && !unreachable.contains(name) && daemon.needs_store_read(now)) {
                    ++store_reads[name];
                    daemon.on_claims_read({}, now);
                }
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

    bool store_away{false};
    std::map<std::string, int> store_reads;
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

TEST_CASE("primaries are used only once the store's claims are known, and while they are")
{
    claim_exchange fresh{"d9", 1};
    CHECK_FALSE(fresh.is_permitted("ledger", start));
    CHECK_FALSE(fresh.needs_store_read(start)); // it uses no primary
    fresh.follow("ledger");
    CHECK(fresh.needs_store_read(start));

    exchanges fleet{{"d1", "d2", "d3", "d4"}};
    fleet.run(10s);
    for (const auto& [name, daemon] : fleet.daemons) {
        CHECK(daemon.is_permitted("ledger", fleet.now));
    }
    fleet.unreachable = {"d3"};
    fleet.run(claim_exchange::permit_lifetime - claim_exchange::home_ask_age);
    CHECK(fleet["d3"].is_permitted("ledger", fleet.now));
    fleet.run(claim_exchange::home_ask_age);
    CHECK_FALSE(fleet["d3"].is_permitted("ledger", fleet.now));
    CHECK(fleet["d4"].is_permitted("ledger", fleet.now));
    fleet["d3"].on_claims_read({}, fleet.now);
    CHECK(fleet["d3"].is_permitted("ledger", fleet.now));
}

TEST_CASE("one daemon reads the store for all, the next one does if it is lost")
{
    exchanges fleet{{"d1", "d2", "d3", "d4"}};
    fleet.run(10s);
    CHECK(fleet.store_reads["d1"] >= 15);
    CHECK(fleet.store_reads["d1"] <= 25);
    CHECK(fleet.store_reads["d2"] + fleet.store_reads["d3"] + fleet.store_reads["d4"] <= 1);
    fleet.unreachable = {"d1"};
    fleet.store_reads.clear();
    fleet.run(10s);
    CHECK(fleet.store_reads["d2"] >= 8);
    CHECK(fleet.store_reads["d3"] + fleet.store_reads["d4"] <= 4);
    CHECK(fleet["d4"].is_permitted("ledger", fleet.now));
}

TEST_CASE("while the store is away, the daemons that reach most homes go on")
{
    exchanges fleet{{"d1", "d2", "d3", "d4", "d5"}};
    for (auto& [name, daemon] : fleet.daemons) {
        daemon.set_homes("ledger", {"d1", "d2", "d3"});
    }
    fleet.run(1s);
    fleet.store_away = true;
    fleet.run(10s);
    for (const auto& [name, daemon] : fleet.daemons) {
        CHECK(daemon.is_permitted("ledger", fleet.now));
    }
    fleet.unreachable = {"d1"};
    fleet.run(claim_exchange::permit_lifetime + claim_exchange::home_ask_interval);
    CHECK_FALSE(fleet["d1"].is_permitted("ledger", fleet.now));
    CHECK(fleet["d4"].is_permitted("ledger", fleet.now));
    fleet.unreachable = {"d1", "d2"};
    fleet.run(claim_exchange::permit_lifetime + claim_exchange::home_ask_interval);
    CHECK_FALSE(fleet["d3"].is_permitted("ledger", fleet.now));
    CHECK_FALSE(fleet["d4"].is_permitted("ledger", fleet.now));
}

TEST_CASE("a permit counts from the question and from what its answerer knew")
{
    claim_exchange daemon{"d1", 1};
    daemon.set_daemons({"d1", "d2", "d3"});
    daemon.follow("ledger");
    daemon.on_claims_read({}, start - 1min);
    const auto answer_to_next_question = [&](duration age) {
        daemon.on_tick(start);
        const auto questions = daemon.take_messages(start);
        REQUIRE_FALSE(questions.empty());
        peer_message answer;
        answer.sender = "d2";
        answer.number = questions[0].content.number;
        answer.is_answer = true;
        answer.age = age;
        return answer;
    };
    const peer_message answer = answer_to_next_question(100ms);
    // This daemon was suspended before it read the answer.
    const time_point later = start + claim_exchange::permit_lifetime;
    daemon.on_message(answer, later);
    CHECK_FALSE(daemon.is_permitted("ledger", later));
    CHECK(daemon.is_permitted("ledger", later - 101ms));
    // A second answer to the same question, and an answer to none, say nothing.
    daemon.on_message(answer, later);
    peer_message unasked = answer;
    unasked.number = 99;
    unasked.age = duration{0};
    daemon.on_message(unasked, later);
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
    fleet.run(40ms);
    CHECK_FALSE(fleet["d1"].finish_hand_over("ledger", fleet.now));
    fleet.run(claim_exchange::permit_lifetime);
    CHECK_FALSE(fleet["d1"].finish_hand_over("ledger", fleet.now));
    CHECK_FALSE(fleet["d3"].is_permitted("ledger", fleet.now));
    fleet.run(claim_exchange::release_timeout - claim_exchange::permit_lifetime);
    CHECK(fleet["d1"].finish_hand_over("ledger", fleet.now));
}

TEST_CASE("a hand-over does not end while most homes may be without the claim")
{
    exchanges fleet{{"d1", "d2", "d3", "d4", "d5"}};
    fleet.run(1s);
    fleet.unreachable = {"d3", "d4", "d5"};
    fleet.claim("d1", 1, "p");
    fleet.run(10s);
    CHECK_FALSE(fleet["d1"].finish_hand_over("ledger", fleet.now));
    fleet.unreachable = {"d4", "d5"};
    fleet.run(100ms);
    CHECK_FALSE(fleet["d1"].finish_hand_over("ledger", fleet.now));
    fleet.run(claim_exchange::release_timeout);
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
    fleet["d1"].set_daemons({"d1", "d2"});
    fleet["d2"].set_daemons({"d1", "d2"});
    fleet.run(1s);
    // The new daemon d3 has asked d1, which told it of no claim.
    fleet.unreachable = {"d3"};
    fleet.claim("d1", 1, "p");
    fleet.run(100ms);
    CHECK_FALSE(fleet["d1"].finish_hand_over("ledger", fleet.now));
    fleet.run(claim_exchange::release_timeout);
    CHECK(fleet["d1"].finish_hand_over("ledger", fleet.now));

    // Now it asks d2 instead.
    fleet.unreachable.clear();
    fleet["d3"].set_daemons({"d2", "d1", "d3"});
    fleet.run(claim_exchange::permit_lifetime + 1s);
    fleet.unreachable = {"d3"};
    fleet.claim("d1", 2, "p");
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
    fleet.run(claim_exchange::second_ask_age + claim_exchange::ask_interval);
    CHECK_FALSE(fleet["d3"].allows("ledger", "p"));
}

// LOST: a daemon that reads the store after a claim was lost there would let the former primary
// lead, while the claim's target takes writes.
TEST_CASE("after the store went back, only homes that may know of lost claims allow to lead")
{
    exchanges fleet{{"a", "b", "c"}};
    fleet["a"].on_store_era(2, fleet.now);
    CHECK_FALSE(fleet["a"].is_permitted("ledger", fleet.now + claim_exchange::permit_lifetime));
    fleet.unreachable = {"b", "c"};
    fleet["a"].on_claims_read({}, fleet.now + 1s);
    CHECK_FALSE(
        fleet["a"].is_permitted("ledger", fleet.now + claim_exchange::permit_lifetime + 100ms));
    fleet["a"].on_claims_read({}, fleet.now + claim_exchange::claims_settle_time);
    CHECK(fleet["a"].is_permitted("ledger", fleet.now + claim_exchange::claims_settle_time + 1s));

    // The homes answer at once.
    fleet.unreachable.clear();
    fleet["b"].on_store_era(2, fleet.now);
    fleet["c"].learn({"ledger", 5, "r2"});
    fleet.run(100ms);
    CHECK(fleet["b"].newest("ledger")->token == 5);
    CHECK(fleet["b"].is_permitted("ledger", fleet.now));
}

// A restart of all daemons must not leave the groups without writes until the store counts again.
TEST_CASE("daemons that start together may use a primary once most homes answer")
{
    exchanges fleet{{"a", "b", "c"}};
    fleet.unreachable = {"b", "c"};
    for (const char* name : {"a", "b", "c"}) {
        fleet[name].on_store_era(1, fleet.now);
    }
    fleet.run(claim_exchange::permit_lifetime + 100ms);
    CHECK_FALSE(fleet["a"].is_permitted("ledger", fleet.now));
    fleet.unreachable = {"c"};
    fleet.run(claim_exchange::unsettled_ask_interval + 40ms);
    CHECK(fleet["a"].is_permitted("ledger", fleet.now));
    CHECK_FALSE(fleet["c"].is_permitted("ledger", fleet.now));
}
