// Seeded random runs of one queue with invariants checked at every event.
#include "gypsumstep/admission/server_queue.h"
#include "gypsumstep/base/random.h"
#include "gypsumstep/sim/event_queue.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace gypsumstep;
using namespace gypsumstep::admission;

namespace {

// Simulates one queue, its server and its client accounts in virtual time.
class queue_simulation {
public:
    queue_simulation(queue_settings settings, std::uint32_t slots, std::uint64_t seed)
        : m_queue{settings, slots}, m_settings{settings}, m_random{seed}
    {
    }

    // Starts Poisson arrivals of requests of one client account.
    void start_arrivals(rank level, std::uint32_t account, duration interval, duration allowed,
                        double transaction_share = 0.0)
    {
        m_events.after(m_random.exponential(interval), [=, this] {
            const auto kind = m_random.chance(transaction_share) ? request_kind::open_transaction
                                                                 : request_kind::new_work;
            offer({request_id{++m_offered}, level, client_account_id{account},
                   m_events.now() + allowed, kind});
            start_arrivals(level, account, interval, allowed, transaction_share);
        });
    }

    // Changes the number of slots at random times.
    void vary_slots(std::uint32_t max_slots)
    {
        m_events.after(m_random.exponential(300ms), [=, this] {
            m_queue.set_slots(static_cast<std::uint32_t>(m_random.below(max_slots + 1)),
                              m_events.now());
            start_and_expire();
            vary_slots(max_slots);
        });
    }

    void run(duration length)
    {
        m_events.run_until(m_events.now() + length);
        check_conservation();
    }

    // Share of all slot time that a rank used.
    [[nodiscard]] double share(rank level) const
    {
        const double total =
            static_cast<double>((m_events.now() - time_point{}).count()) * m_queue.slots();
        return static_cast<double>(m_rank_time[index_of(level)].count()) / total;
    }

    std::map<std::uint32_t, duration> account_time;

private:
    void offer(const request& item)
    {
        const decision answer = m_queue.offer(item, m_events.now());
        if (std::holds_alternative<refused>(answer)) {
            m_refused += 1;
            return;
        }
        m_items[item.id] = item;
        if (std::holds_alternative<admitted>(answer)) {
            start(item.id);
        }
        else if (m_random.chance(0.02) && m_queue.cancel(item.id, m_events.now())) {
            m_items.erase(item.id);
            m_refused += 1;
        }
        start_and_expire();
    }

    void start_and_expire()
    {
        const std::vector<request_id> started = m_queue.start_next(m_events.now());
        std::ranges::for_each(started, [this](request_id id) { start(id); });
        if (!started.empty()) {
            check_order(started);
            REQUIRE(m_queue.running() <= m_queue.slots());
        }
        for (const request_id id : m_queue.take_expired(m_events.now())) {
            REQUIRE_FALSE(m_started.contains(id));
            REQUIRE(m_items.erase(id) == 1);
            m_refused += 1;
        }
    }

    void start(request_id id)
    {
        REQUIRE(m_items.contains(id));
        REQUIRE(m_started.insert(id).second);
        const duration service = m_random.exponential(10ms);
        m_events.after(service, [=, this] {
            const request item = m_items.at(id);
            m_rank_time[index_of(item.level)] += service;
            account_time[item.client_account.value()] += service;
            m_items.erase(id);
            m_started.erase(id);
            m_finished += 1;
            REQUIRE(m_queue.finished(id, service, m_random.chance(0.99), m_events.now()));
            REQUIRE_FALSE(m_queue.finished(id, service, true, m_events.now()));
            start_and_expire();
        });
    }

    // Without slot floors, no new work starts while more urgent new work waits.
    void check_order(const std::vector<request_id>& started) const
    {
        for (const request_id id : started) {
            const request& item = m_items.at(id);
            for (const rank higher : all_ranks) {
                const bool floors = m_settings.ranks[index_of(rank::last)].slot_floor > 0;
                if (higher < item.level && item.kind == request_kind::new_work && !floors) {
                    REQUIRE(m_queue.waiting(higher) == 0);
                }
            }
        }
    }

    void check_conservation() const
    {
        REQUIRE(m_offered == m_finished + m_refused + m_items.size());
        REQUIRE(m_queue.running() == m_started.size());
    }

    sim::event_queue m_events;
    server_queue m_queue;
    queue_settings m_settings;
    random_source m_random;
    std::map<request_id, request> m_items; // waiting or running
    std::set<request_id> m_started;
    std::array<duration, rank_count> m_rank_time{};
    std::uint64_t m_offered{0};
    std::uint64_t m_finished{0};
    std::uint64_t m_refused{0};
};

queue_settings with_floors(double next, double last)
{
    queue_settings settings;
    settings.ranks[index_of(rank::next)].slot_floor = next;
    settings.ranks[index_of(rank::last)].slot_floor = last;
    return settings;
}

} // namespace

TEST_CASE("random runs conserve requests, respect slots and keep rank order")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        INFO("seed " << seed);
        random_source random{seed};
        const auto slots = static_cast<std::uint32_t>(1 + random.below(6));
        queue_settings settings = seed % 2 == 0 ? with_floors(0.2, 0.1) : queue_settings{};
        settings.ranks[index_of(rank::last)].queue_limit =
            static_cast<std::uint32_t>(random.below(50));
        queue_simulation run{settings, slots, seed};
        for (std::uint32_t account = 0; account < 6; ++account) {
            run.start_arrivals(all_ranks[random.below(rank_count)], account,
                               random.between(1ms, 30ms), random.between(20ms, 400ms), 0.1);
        }
        if (seed % 3 == 0) {
            run.vary_slots(slots);
        }
        run.run(10s);
    }
}

TEST_CASE("slot floors hold as a share of slot time on few slots, whichever rank floods")
{
    for (const std::uint32_t slots : {1U, 2U, 3U, 5U}) {
        for (const rank flooding : all_ranks) {
            INFO("slots " << slots << ", flood of rank " << index_of(flooding));
            queue_simulation run{with_floors(0.2, 0.1), slots, 11};
            for (const rank level : all_ranks) {
                const duration interval = duration{10'000} / slots / (level == flooding ? 20 : 1);
                run.start_arrivals(level, 0, interval, 200ms);
            }
            run.run(30s);
            CHECK(run.share(rank::next) >= 0.95 * 0.2);
            CHECK(run.share(rank::last) >= 0.95 * 0.1);
            CHECK(run.share(rank::urgent) >= 0.95 * 0.7 * (flooding == rank::urgent ? 1 : 0.9));
        }
    }
}

TEST_CASE("a client account that floods a rank does not take the slots of others in it")
{
    queue_simulation run{with_floors(0.2, 0.1), 3, 5};
    run.start_arrivals(rank::last, 1, 100us, 300ms);
    run.start_arrivals(rank::last, 2, 5ms, 300ms);
    run.run(20s);
    const auto flooding = static_cast<double>(run.account_time[1].count());
    const auto modest = static_cast<double>(run.account_time[2].count());
    CHECK(modest >= 0.9 * flooding);
}
