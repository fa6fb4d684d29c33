// Tests of the parts of the membership core.
#include "gypsumstep/membership/detail/byte_budget.h"
#include "gypsumstep/membership/detail/link_monitor.h"
#include "gypsumstep/membership/detail/member_table.h"
#include "gypsumstep/membership/detail/rumour_queue.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::membership;

namespace {

member_record record(std::uint32_t ip, std::uint64_t incarnation, member_status status)
{
    return {{ip, 1}, domain_id{0}, daemon_id{1}, incarnation, status};
}

rumours take(detail::rumour_queue& queue, std::size_t bytes)
{
    return queue.take(detail::rumour_queue::selection::all, bytes, 3);
}

} // namespace

TEST_CASE("an endpoint is read back as it was written")
{
    const endpoint value{0x0A0102FFU, 7400};
    CHECK(to_string(value) == "10.1.2.255:7400");
    CHECK(parse_endpoint(to_string(value)) == value);
    for (const char* text : {"", "10.1.2:1", "10.1.2.256:1", "10.1.2.3", "10.1.2.3:65536",
                             "10.1.2.3:1x", "a.b.c.d:1", "10.1.2.3.4:1"}) {
        CAPTURE(text);
        CHECK_FALSE(parse_endpoint(text).has_value());
    }
}

TEST_CASE("tables agree and have equal digests whatever the order of records")
{
    const std::vector<member_record> news{
        record(1, 1, member_status::alive), record(1, 1, member_status::suspect),
        record(1, 2, member_status::alive), record(2, 5, member_status::alive),
        record(2, 5, member_status::left)};
    detail::member_table forward{{9, 1}};
    detail::member_table backward{{9, 1}};
    for (std::size_t index = 0; index < news.size(); ++index) {
        forward.apply(news[index], time_point{});
        backward.apply(news[news.size() - 1 - index], time_point{});
    }
    CHECK(*forward.find({1, 1}) == record(1, 2, member_status::alive));
    CHECK(*forward.find({2, 1}) == *backward.find({2, 1}));
    CHECK(forward.digest().parts() == backward.digest().parts());
    CHECK(forward.peers().size() == 1);
}

TEST_CASE("a rumour is sent a bounded number of times, a newer one replaces it")
{
    detail::rumour_queue queue{10};
    queue.push(record(1, 1, member_status::alive));
    queue.push(record(1, 1, member_status::suspect));
    CHECK(queue.size() == 1);
    for (int sent = 0; sent < 3; ++sent) {
        CHECK(take(queue, 100) == rumours{record(1, 1, member_status::suspect)});
    }
    CHECK(take(queue, 100).empty());
}

TEST_CASE("what peers are known to share is dropped, but for what digests do not cover")
{
    detail::rumour_queue queue{10};
    const payload delta{"delta", 1, payload_retention::transient, "x"};
    queue.push(record(1, 1, member_status::alive));
    queue.push(delta);
    for (int shared = 0; shared < 5; ++shared) {
        queue.note_shared(3);
    }
    CHECK(queue.take_fresh(100).size() == 2);
    for (int shared = 0; shared < 3; ++shared) {
        queue.note_shared(3);
    }
    CHECK(take(queue, 100) == rumours{delta});
}

TEST_CASE("rumours taken for a message keep to its bytes and to the queue's limit")
{
    detail::rumour_queue queue{10};
    for (std::uint32_t ip = 1; ip <= 20; ++ip) {
        queue.push(record(ip, 1, member_status::alive));
    }
    CHECK(queue.size() == 10);
    std::size_t bytes = 0;
    const rumours taken = take(queue, 40);
    for (const rumour& item : taken) {
        bytes += encoded_size(item);
    }
    CHECK_FALSE(taken.empty());
    CHECK(bytes <= 40);
}

TEST_CASE("a domain is cut off after failures in a row with nothing heard between")
{
    detail::link_monitor links{3};
    const domain_id domain{4};
    CHECK_FALSE(links.failed(domain, time_point{1s}));
    CHECK_FALSE(links.heard(domain, time_point{2s}));
    CHECK_FALSE(links.failed(domain, time_point{1s}));
    CHECK_FALSE(links.failed(domain, time_point{3s}));
    CHECK_FALSE(links.failed(domain, time_point{4s}));
    CHECK(links.failed(domain, time_point{5s}));
    CHECK(links.is_cut(domain));
    CHECK(links.heard(domain, time_point{6s}));
    CHECK_FALSE(links.is_cut(domain));
}

TEST_CASE("a byte budget recovers up to its burst")
{
    detail::byte_budget budget{100, 200};
    budget.spend(300);
    CHECK_FALSE(budget.allows(0));
    budget.advance(time_point{2s});
    CHECK(budget.allows(100));
    CHECK_FALSE(budget.allows(101));
    budget.advance(time_point{60s});
    CHECK_FALSE(budget.allows(201));
}
