// Tests of the order of waiting statements.
#include "gypsumstep/dispatch/wait_queue.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace gypsumstep;
using namespace gypsumstep::dispatch;

namespace {

const time_point start{100s};

queued_statement make_item(std::uint32_t priority, duration arrived, bool needs_primary = false)
{
    queued_statement item;
    item.priority = priority;
    item.arrived = start + arrived;
    item.needs_primary = needs_primary;
    return item;
}

std::vector<queued_statement*> order_of(wait_queue& queue)
{
    std::vector<queued_statement*> visited;
    queue.visit([&visited](queued_statement& item) {
        visited.push_back(&item);
        return true;
    });
    return visited;
}

} // namespace

TEST_CASE("priority comes before arrival in the order of the queue")
{
    queued_statement late_urgent = make_item(0, 5ms);
    queued_statement early_last = make_item(2, 1ms);
    queued_statement middle = make_item(1, 3ms);
    wait_queue queue;
    for (queued_statement* item : {&early_last, &middle, &late_urgent}) {
        queue.push(*item);
    }
    CHECK(order_of(queue) == std::vector{&late_urgent, &middle, &early_last});
    CHECK(queue.count_ahead(make_item(1, 9ms)) == 2);
    CHECK(queue.size() == 3);
}

TEST_CASE("a statement that is queued again keeps its place by arrival")
{
    queued_statement first = make_item(1, 1ms);
    queued_statement second = make_item(1, 2ms);
    wait_queue queue;
    queue.push(first);
    queue.push(second);
    queue.remove(first);
    queue.push(first);
    CHECK(order_of(queue) == std::vector{&first, &second});
}

TEST_CASE("the visitor may remove the item that it is given")
{
    queued_statement first = make_item(0, 1ms);
    queued_statement second = make_item(0, 2ms);
    wait_queue queue;
    queue.push(first);
    queue.push(second);
    std::size_t visited = 0;
    queue.visit([&](queued_statement& item) {
        queue.remove(item);
        ++visited;
        return true;
    });
    CHECK(visited == 2);
    CHECK(queue.size() == 0);
}

TEST_CASE("only writes are ahead of a write at the primary")
{
    queued_statement read = make_item(0, 1ms);
    queued_statement write = make_item(0, 2ms, true);
    wait_queue queue;
    queue.push(read);
    queue.push(write);
    CHECK(queue.count_ahead(make_item(2, 9ms, true)) == 1);
    CHECK(queue.count_ahead(make_item(2, 9ms)) == 2);
}
