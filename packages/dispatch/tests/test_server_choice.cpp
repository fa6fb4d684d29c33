// Tests of selecting the server for a read and of admitting statements to the queue.
#include "gypsumstep/dispatch/server_choice.h"
#include "gypsumstep/dispatch/wait_estimate.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace gypsumstep;
using namespace gypsumstep::dispatch;

namespace {

const time_point start{100s};

candidate make_candidate(std::uint32_t id, proximity distance)
{
    candidate server;
    server.id = server_id{id};
    server.distance = distance;
    server.limit = 3;
    server.mean_response_time = 30ms;
    return server;
}

} // namespace

TEST_CASE("a replica is preferred to a primary at the same distance")
{
    std::vector<candidate> servers{make_candidate(1, proximity::same_region),
                                   make_candidate(2, proximity::same_region)};
    servers[0].is_primary = true;
    CHECK(choose_for_read(servers) == server_id{2});
}

TEST_CASE("a near primary serves reads while it is idle, a remote replica once it is not")
{
    std::vector<candidate> servers{make_candidate(1, proximity::same_domain),
                                   make_candidate(2, proximity::remote)};
    servers[0].is_primary = true;
    servers[1].mean_response_time = 70ms; // includes the round trip to another region
    CHECK(choose_for_read(servers) == server_id{1});
    servers[0].in_flight = 2;
    CHECK(choose_for_read(servers) == server_id{2});
}

TEST_CASE("the primary serves reads when no replica can take them")
{
    std::vector<candidate> servers{make_candidate(1, proximity::same_domain),
                                   make_candidate(2, proximity::remote)};
    servers[0].is_primary = true;
    servers[1].in_flight = 3;
    CHECK(choose_for_read(servers) == server_id{1});
    servers[1].in_flight = 0;
    servers[1].expects_lag_refusal = true;
    CHECK(choose_for_read(servers) == server_id{1});
}

TEST_CASE("a near replica is preferred until it is much slower")
{
    std::vector<candidate> servers{make_candidate(1, proximity::same_domain),
                                   make_candidate(2, proximity::remote)};
    CHECK(choose_for_read(servers) == server_id{1});
    servers[0].mean_response_time = 200ms;
    CHECK(choose_for_read(servers) == server_id{2});
}

TEST_CASE("no server is chosen while all servers are at their limit")
{
    std::vector<candidate> servers{make_candidate(1, proximity::same_domain)};
    servers[0].in_flight = 3;
    CHECK_FALSE(choose_for_read(servers));
}

TEST_CASE("a replica that lagged gets no reads of newer data during the backoff")
{
    replica_lag_estimate lag;
    CHECK_FALSE(lag.expects_refusal(0ms, start));
    lag.on_refused(100ms, start);
    CHECK(lag.expects_refusal(50ms, start + 1ms));
    CHECK(lag.expects_refusal(100ms, start + 1ms));
    CHECK_FALSE(lag.expects_refusal(200ms, start + 1ms));
    CHECK_FALSE(lag.expects_refusal(50ms, start + 1s));
    lag.on_served(60ms);
    CHECK_FALSE(lag.expects_refusal(60ms, start + 1ms));
    CHECK(lag.expects_refusal(50ms, start + 1ms));
}

TEST_CASE("a statement that would wait too long is refused with a time to retry")
{
    admission_input input;
    input.max_wait = 900ms;
    input.expected_wait = 800ms;
    CHECK_FALSE(check_admission(input));
    input.expected_wait = 1500ms;
    const auto refused = check_admission(input);
    REQUIRE(refused);
    CHECK(refused->retry_after == 600ms);
    input.expected_wait = 0ms;
    input.server_available = false;
    input.available_in = 2s;
    CHECK(check_admission(input)->retry_after == 1100ms);
}

TEST_CASE("the expected wait follows the measured service time")
{
    wait_estimate estimate;
    for (int i = 0; i < 200; ++i) {
        estimate.on_completed(60ms);
    }
    const duration wait = estimate.expected_wait(10, 5);
    CHECK(wait > 110ms);
    CHECK(wait <= 120ms);
}

TEST_CASE("daemons that share a server keep its slots busy over long round trips")
{
    CHECK(fair_statement_limit(6, 6, 3) == 5);
    CHECK(fair_statement_limit(5, 7, 3) == 4);
    CHECK(fair_statement_limit(3, 9, 3) == 3);
    CHECK(fair_statement_limit(6, 0, 3) == 30);
    for (std::uint32_t daemons = 1; daemons <= 30; ++daemons) {
        // If a statement takes as long as its round trip, two per slot in flight keep it busy.
        CHECK(fair_statement_limit(6, daemons, 1) * daemons >= 12);
    }
}
