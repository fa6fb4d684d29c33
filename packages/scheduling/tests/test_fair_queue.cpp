// Tests of the order between accounts.
#include "gypsumstep/base/random.h"
#include "gypsumstep/scheduling/fair_queue.h"

#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <string>
#include <vector>

using namespace gypsumstep;
using namespace gypsumstep::scheduling;

namespace {

struct item : fair_item {
    char account{0};
};

using queue_of_items = fair_queue<item, char>;

/// Owns items and queues them, one for each letter, which is the item's account.
class filled_queue {
public:
    explicit filled_queue(const std::string& accounts)
    {
        for (const char account : accounts) {
            add(account);
        }
    }

    item& add(char account)
    {
        item& added = m_items.emplace_back();
        added.account = account;
        added.arrived = time_point{duration{static_cast<duration::rep>(m_items.size())}};
        queue.push(added, account);
        return added;
    }

    std::string order(duration step)
    {
        std::string visited;
        queue_of_items::cursor place{queue, step};
        while (const item* const next = place.next()) {
            visited += next->account;
        }
        return visited;
    }

private:
    std::deque<item> m_items;

public:
    queue_of_items queue;
};

} // namespace

// Guards against one account's burst that makes the others wait for all of it.
TEST_CASE("accounts take turns by slot time, items of one account go by arrival")
{
    filled_queue filled{"aaaabb"};
    CHECK(filled.order(10ms) == "ababaa");
    // An account whose items cost 2.5 times as much gets fewer turns.
    std::string started;
    while (item* const next = filled.queue.first()) {
        started += next->account;
        filled.queue.start(*next, next->account == 'b' ? 25ms : 10ms);
    }
    CHECK(started == "abaaba");
}

// Guards against an account that pays for slot time that nobody else wanted, or that saves up a
// claim while it wants nothing.
TEST_CASE("an account that starts to wait is level with the one served last")
{
    filled_queue filled{""};
    for (int i = 0; i < 100; ++i) {
        filled.queue.start(filled.add('a'), 10ms);
    }
    filled.add('a');
    filled.add('a');
    filled.add('b');
    filled.add('b');
    CHECK(filled.order(10ms) == "baba");
}

// Guards against an estimate that lets an account with long statements have more than its share.
TEST_CASE("the measured cost corrects the estimate, up to the highest debt")
{
    filled_queue filled{"ab"};
    filled.queue.charge('a', 30ms, 1s);
    filled.add('b');
    filled.add('b');
    CHECK(filled.order(10ms) == "bbba");
    filled.queue.charge('a', 10s, 40ms);
    for (int i = 0; i < 8; ++i) {
        filled.add('b');
    }
    CHECK(filled.order(10ms).substr(0, 6).find('a') != std::string::npos);
}

// Guards against an account that is skipped for lack of a connection and then takes all slots.
TEST_CASE("an account that was passed over catches up by a bounded slot time")
{
    filled_queue filled{std::string(60, 'b')};
    for (int i = 0; i < 200; ++i) {
        filled.queue.start(filled.add('a'), 10ms);
        filled.add('a');
    }
    std::size_t starts_of_b = 0;
    while (filled.queue.first()->account == 'b') {
        filled.queue.start(*filled.queue.first(), 10ms);
        ++starts_of_b;
    }
    CHECK(starts_of_b >= 10);
    CHECK(starts_of_b <= 12);
}

// Guards against an expected wait that counts items which the order puts behind the new one.
TEST_CASE("the number ahead of a new item is that of the items which start before it")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        CAPTURE(seed);
        random_source random{seed};
        filled_queue filled{""};
        for (int i = 0; i < 60; ++i) {
            const char account = static_cast<char>('a' + random.below(random.below(6) + 1));
            filled.add(account);
            filled.queue.charge(account, random.between(0ms, 50ms), 1s);
        }
        const char account = static_cast<char>('a' + random.below(7));
        const std::size_t ahead = filled.queue.count_ahead(account, false, 10ms);
        const item* const added = &filled.add(account);
        queue_of_items::cursor place{filled.queue, 10ms};
        std::size_t before = 0;
        while (place.next() != added) {
            ++before;
        }
        CHECK(ahead == before);
    }
}

// Guards against an expected wait that forgets the items which arrive later and go first: the
// waiting account is served once while the others get ten turns.
TEST_CASE("an account that waits is expected to be served as often as recently")
{
    filled_queue filled{std::string(100, 'a')};
    for (int round = 0; round < 40; ++round) {
        filled.queue.start(*filled.queue.first(), 100ms);
        for (int other = 0; other < 9; ++other) {
            filled.queue.start(filled.add('b'), 11ms);
        }
    }
    const std::size_t own = filled.queue.size_of('a');
    CHECK(filled.queue.count_ahead('a', false, 10ms) >= 8 * own);
    CHECK(filled.queue.count_ahead('a', false, 10ms) <= 12 * own);
    CHECK(filled.queue.count_ahead('c', false, 10ms) <= 1);
}

// Guards against a visit that goes on from an item which was removed meanwhile: starting one
// statement may finish or start others.
TEST_CASE("items may be removed and added during a visit, also the next one")
{
    filled_queue filled{"aaabbb"};
    std::string visited;
    queue_of_items::cursor place{filled.queue, duration{0}};
    while (item* const next = place.next()) {
        visited += next->account;
        filled.queue.start(*next, 10ms);
        if (visited.size() == 2) {
            filled.queue.remove(*filled.queue.first());
            filled.add('c');
        }
    }
    CHECK(visited.size() == 5);
    CHECK(filled.queue.size() == 1);
}

// Guards against memory that grows with every account that was ever seen.
TEST_CASE("accounts without items and debt are forgotten")
{
    fair_queue<item, int> queue;
    for (int account = 0; account < 10'000; ++account) {
        item short_lived;
        queue.push(short_lived, account);
        queue.start(short_lived, 1us);
        queue.charge(account, -1us, 1s);
    }
    CHECK(queue.known_accounts() <= 64);
}
