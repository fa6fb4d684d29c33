// Tests of the request queue for one backend server.
#include "gypsumstep/admission/server_queue.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::admission;

namespace {

request make(std::uint64_t id, rank level, std::uint32_t account = 0)
{
    return {request_id{id}, level, client_account_id{account}, std::nullopt,
            request_kind::new_work};
}

const time_point start{1s};

} // namespace

TEST_CASE("a free slot admits at once, a full server queues in rank order")
{
    server_queue queue{{}, 1};
    CHECK(queue.offer(make(1, rank::last), start) == decision{admitted{}});
    CHECK(std::holds_alternative<queued>(queue.offer(make(2, rank::last), start)));
    CHECK(std::holds_alternative<queued>(queue.offer(make(3, rank::next), start)));
    CHECK(std::holds_alternative<queued>(queue.offer(make(4, rank::urgent), start)));
    CHECK(queue.start_next(start).empty());
    for (const std::uint64_t expected : {4, 3, 2}) {
        const std::uint64_t before = expected == 4 ? 1 : expected + 1;
        CHECK(queue.finished(request_id{before}, 5ms, true, start + 5ms));
        CHECK(queue.start_next(start + 5ms) == std::vector{request_id{expected}});
    }
}

TEST_CASE("requests of open transactions start before all new work and ignore its limits")
{
    queue_settings settings;
    settings.ranks[index_of(rank::urgent)].queue_limit = 1;
    server_queue queue{settings, 1};
    CHECK(queue.offer(make(1, rank::urgent), start) == decision{admitted{}});
    CHECK(std::holds_alternative<queued>(queue.offer(make(2, rank::urgent), start)));
    const decision full = queue.offer(make(3, rank::urgent), start);
    CHECK(std::get<refused>(full).reason == refusal_reason::queue_full);
    queue.set_accepting(false);
    request in_transaction = make(4, rank::last);
    in_transaction.kind = request_kind::open_transaction;
    CHECK(std::holds_alternative<queued>(queue.offer(in_transaction, start)));
    queue.finished(request_id{1}, 1ms, true, start);
    CHECK(queue.start_next(start) == std::vector{request_id{4}});
    const decision leaving = queue.offer(make(5, rank::urgent), start);
    CHECK(std::get<refused>(leaving).reason == refusal_reason::not_accepting);
}

TEST_CASE("a request that would miss its deadline is refused at once, or once its time has run out")
{
    server_queue queue{{}, 1};
    CHECK(queue.offer(make(1, rank::urgent), start) == decision{admitted{}});
    request too_late = make(2, rank::next);
    too_late.deadline = start + 11ms;
    const decision answer = queue.offer(too_late, start);
    REQUIRE(std::holds_alternative<refused>(answer));
    CHECK(std::get<refused>(answer).reason == refusal_reason::deadline);
    CHECK(std::get<refused>(answer).retry_after > duration{0});

    request in_time = make(3, rank::next);
    in_time.deadline = start + 100ms;
    CHECK(std::holds_alternative<queued>(queue.offer(in_time, start)));
    CHECK(queue.take_expired(start + 50ms).empty());
    CHECK(queue.take_expired(start + 95ms) == std::vector{request_id{3}});
    CHECK(queue.take_expired(start + 95ms).empty());
    CHECK_FALSE(queue.cancel(request_id{3}, start + 95ms));
}

TEST_CASE("cancel removes only waiting requests, and drain removes all of them")
{
    server_queue queue{{}, 1};
    CHECK(queue.offer(make(1, rank::last), start) == decision{admitted{}});
    for (std::uint64_t id = 2; id <= 4; ++id) {
        CHECK(std::holds_alternative<queued>(queue.offer(make(id, rank::last), start)));
    }
    CHECK_FALSE(queue.cancel(request_id{1}, start));
    CHECK(queue.cancel(request_id{2}, start));
    CHECK(queue.drain(start).size() == 2);
    CHECK(queue.running() == 1);
}

TEST_CASE("lowered slot limits hold as soon as enough running requests have finished")
{
    server_queue queue{{}, 3};
    for (std::uint64_t id = 1; id <= 5; ++id) {
        (void)queue.offer(make(id, rank::next), start);
    }
    queue.set_slots(1, start);
    queue.finished(request_id{1}, 1ms, true, start);
    queue.finished(request_id{2}, 1ms, true, start);
    CHECK(queue.start_next(start).empty());
    queue.finished(request_id{3}, 1ms, true, start);
    CHECK(queue.start_next(start).size() == 1);
    queue.set_slots(0, start);
    CHECK(std::holds_alternative<queued>(queue.offer(make(9, rank::urgent), start)));
    CHECK(queue.start_next(start).empty());
}

TEST_CASE("a server that fails fast is rated as slow and gets one request at a time")
{
    server_queue queue{{}, 4};
    const duration before = expected_response(queue.current_load(start), rank::urgent);
    time_point now = start;
    for (std::uint64_t id = 1; id <= 60; ++id) {
        (void)queue.offer(make(id, rank::urgent), now);
        now += 1ms;
        queue.finished(request_id{id}, 1ms, false, now);
    }
    CHECK(expected_response(queue.current_load(now), rank::urgent) > 10 * before);
    CHECK(queue.limit(now) == 1);
    CHECK(queue.limit(now + 10s) == 4);
}
