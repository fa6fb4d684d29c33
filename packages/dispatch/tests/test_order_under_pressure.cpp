// Plays the loads that the order under pressure is made for, in virtual time without a network:
// a home's queue, its estimates and its servers' slots.
//
// The load is an eighth of deployment S, one of its 8 groups. The home reaches the group's primary
// in another region: a statement occupies one of its 4 statements in flight for its work and a
// round trip of 40 ms, so that twice the usual rate of cat-sync is more than it can start.
#include "simulated_slots.h"

#include "gypsumstep/base/random.h"
#include "gypsumstep/dispatch/wait_estimate.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace gypsumstep;
using namespace gypsumstep::dispatch;

namespace {

constexpr std::uint32_t slots = 4;
constexpr duration round_trip = 40ms;
constexpr duration load_duration = 14s;
constexpr duration burst_begin = 3s;
constexpr duration burst_end = 9s;
constexpr int account_count = 84;
constexpr double usual_cat_sync = 509.0 / 8;
constexpr double doubled_cat_sync = 1020.0 / 8;

/// A kind of operations; the figures are those of the deployment.
struct kind {
    std::uint32_t priority;
    duration work;
    duration target;
    duration limit;
};
constexpr kind event_pick{0, 3ms, 500ms, 4s};
constexpr kind cat_sync{2, 9ms, 2s, 4s};

struct item : queued_statement {
    const kind* used{nullptr};
    duration slot_time{0};
};

/// How the operations of one kind and account ended.
struct outcomes {
    std::size_t arrived{0};
    std::size_t in_time{0};
    std::size_t late{0};
    std::size_t refused{0};
    std::size_t started_in_load{0}; ///< started before the load ended
    std::size_t refused_at_once{0}; ///< refused without having waited
    std::vector<duration> waits;

    [[nodiscard]] double share_in_time() const
    {
        return static_cast<double>(in_time) /
               static_cast<double>(std::max(arrived, std::size_t{1}));
    }
    [[nodiscard]] duration wait_of_95_percent() const
    {
        auto sorted = waits;
        std::sort(sorted.begin(), sorted.end());
        return sorted.empty() ? duration{0} : sorted[sorted.size() * 95 / 100];
    }
};

/// What the queue decides; a test turns one of them off to compare.
struct decisions {
    bool fair{true};
    bool by_target{true};
};

class simulation {
public:
    simulation(decisions made, std::uint64_t seed) : m_made{made}, m_random{seed}
    {
        m_queue.set_fair(made.fair);
    }

    /// Adds arrivals of one kind; \p account returns the account of one arrival.
    template <class Account>
    void add(const kind& used, double per_second, duration begin, duration end, Account&& account)
    {
        const duration mean =
            std::chrono::duration_cast<duration>(std::chrono::duration<double>{1.0 / per_second});
        for (duration at = begin + m_random.exponential(mean); at < end;
             at += m_random.exponential(mean)) {
            auto made = std::make_unique<item>();
            made->used = &used;
            made->priority = used.priority;
            made->account = account(m_random);
            made->slot_time = round_trip + m_random.exponential(used.work);
            made->arrived = time_point{at};
            made->start_deadline = made->arrived + used.limit * 9 / 10;
            made->needs_primary = true;
            m_all.push_back(std::move(made));
        }
    }

    void run()
    {
        std::stable_sort(m_all.begin(), m_all.end(), [](const auto& left, const auto& right) {
            return left->arrived < right->arrived;
        });
        for (const auto& arriving : m_all) {
            advance_to(arriving->arrived);
            offer(*arriving);
        }
        advance_to(time_point{load_duration + 10s});
    }

    /// Outcomes of a kind, of all accounts or of those whose names \p chosen accepts.
    template <class Chosen>
    outcomes of(const kind& used, Chosen&& chosen)
    {
        outcomes sum;
        for (auto& [key, each] : m_outcomes) {
            if (key.first == used.priority && chosen(key.second)) {
                sum.arrived += each.arrived;
                sum.in_time += each.in_time;
                sum.late += each.late;
                sum.refused += each.refused;
                sum.started_in_load += each.started_in_load;
                sum.refused_at_once += each.refused_at_once;
                sum.waits.insert(sum.waits.end(), each.waits.begin(), each.waits.end());
            }
        }
        return sum;
    }
    outcomes of(const kind& used)
    {
        return of(used, [](const std::string&) { return true; });
    }

private:
    [[nodiscard]] duration expected(std::size_t ahead) const
    {
        return m_estimate.expected_wait(ahead, slots);
    }

    outcomes& outcome_of(const queued_statement& statement)
    {
        return m_outcomes[{statement.priority, statement.account}];
    }

    void refuse(const queued_statement& statement, time_point now)
    {
        outcomes& counted = outcome_of(statement);
        ++counted.refused;
        counted.refused_at_once += now == statement.arrived ? 1 : 0;
    }

    void advance_to(time_point now)
    {
        m_slots.advance_to(now, [this](time_point moment) { start_next(moment); });
        m_queue.update({slots, m_estimate.mean()}, now);
        for (queued_statement* const late :
             find_unservable(m_queue, now, [this](const queued_statement&, std::size_t ahead) {
                 return expected(ahead);
             })) {
            m_queue.remove(*late);
            refuse(*late, now);
        }
    }

    void offer(item& arriving)
    {
        const time_point now = arriving.arrived;
        ++outcome_of(arriving).arrived;
        admission_input input;
        input.expected_wait = expected(m_queue.count_ahead(arriving));
        input.max_wait = arriving.start_deadline - now;
        if (m_made.by_target) {
            input.max_wait =
                useful_wait({input.max_wait, arriving.used->target, false}, m_estimate.mean());
        }
        if (check_admission(input)) {
            refuse(arriving, now);
            return;
        }
        m_queue.push(arriving);
        if (m_slots.has_free()) {
            start_next(now);
        }
    }

    void start_next(time_point now)
    {
        m_queue.update({slots, m_estimate.mean()}, now);
        m_queue.visit([&](queued_statement& first) {
            item& chosen = static_cast<item&>(first);
            m_queue.start(chosen);
            const time_point end = now + chosen.slot_time;
            m_slots.occupy(end);
            m_estimate.on_completed(chosen.slot_time);
            m_queue.finished(chosen, chosen.slot_time);
            outcomes& counted = outcome_of(chosen);
            counted.waits.push_back(now - chosen.arrived);
            counted.started_in_load += now < time_point{load_duration} ? 1 : 0;
            const duration latency = end - chosen.arrived;
            counted.in_time += latency <= chosen.used->target ? 1 : 0;
            counted.late += latency > chosen.used->target && latency <= chosen.used->limit ? 1 : 0;
            return false;
        });
    }

    decisions m_made;
    random_source m_random;
    std::vector<std::unique_ptr<item>> m_all;
    wait_queue m_queue;
    wait_estimate m_estimate;
    test::simulated_slots m_slots{slots};
    std::map<std::pair<std::uint32_t, std::string>, outcomes> m_outcomes;
};

/// Returns an account by the deployment's weights, which are proportional to 1 / k^1.2.
std::string usual_account(random_source& random)
{
    static const std::vector<double> sums = [] {
        std::vector<double> made;
        double sum = 0.0;
        for (int k = 1; k <= account_count; ++k) {
            sum += 1.0 / std::pow(k, 1.2);
            made.push_back(sum);
        }
        return made;
    }();
    const double drawn = random.unit() * sums.back();
    const auto found = std::lower_bound(sums.begin(), sums.end(), drawn);
    return "account-" + std::to_string(found - sums.begin() + 1);
}

std::unique_ptr<simulation> with_doubled_cat_sync(decisions made, std::uint64_t seed)
{
    auto played = std::make_unique<simulation>(made, seed);
    simulation& run = *played;
    run.add(event_pick, 109.0 / 8, 0s, load_duration, usual_account);
    run.add(cat_sync, usual_cat_sync, 0s, load_duration, usual_account);
    run.add(cat_sync, doubled_cat_sync - usual_cat_sync, burst_begin, burst_end, usual_account);
    run.run();
    return played;
}

/// Adds 5 times the usual rate of the largest account for 6 s to the usual load. Its limit of 1.6
/// times the usual rate and an equal burst allow some of this only for a shorter time, which is
/// easier to serve.
std::unique_ptr<simulation> with_large_account(decisions made, std::uint64_t seed, bool burst)
{
    auto played = std::make_unique<simulation>(made, seed);
    simulation& run = *played;
    run.add(event_pick, 109.0 / 8, 0s, load_duration, usual_account);
    run.add(cat_sync, usual_cat_sync, 0s, load_duration, usual_account);
    if (burst) {
        run.add(cat_sync, 5 * usual_cat_sync / 4, burst_begin, burst_end,
                [](random_source&) { return std::string{"account-1"}; });
    }
    run.run();
    return played;
}

bool is_other_account(const std::string& name)
{
    return name != "account-1";
}

} // namespace

// Load: one kind at twice its usual rate for 6 s (cat-sync from 509 to 1,020 a second over 8
// groups). Guards against urgent work that is late because of it, and against a burst that makes
// all of its own kind late or wait in vain.
TEST_CASE("event-pick stays on time while cat-sync doubles for 6 s")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        const auto run = with_doubled_cat_sync({}, seed);
        CHECK(run->of(event_pick).share_in_time() >= 0.99);
        const outcomes synced = run->of(cat_sync);
        REQUIRE(synced.refused > 0); // otherwise the load is no pressure
        // What is served is served on time, and the refused learn it at once.
        CHECK(synced.late * 20 <= synced.in_time);
        CHECK(synced.refused_at_once * 10 >= synced.refused * 9);
        // Serving up to the time limit answers hardly more, but most of it late.
        const auto to_limit = with_doubled_cat_sync({true, false}, seed);
        const outcomes waited = to_limit->of(cat_sync);
        CHECK(synced.in_time > waited.in_time);
        CHECK((synced.in_time + synced.late) * 100 >= (waited.in_time + waited.late) * 80);
    }
}

// Load: one account at six times its usual rate for 6 s. Guards against others that wait for it.
TEST_CASE("other accounts keep their waits while the largest sends six times its usual rate")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        const auto usual = with_large_account({}, seed, false);
        const auto burst = with_large_account({}, seed, true);
        const outcomes others_before = usual->of(cat_sync, is_other_account);
        const outcomes others = burst->of(cat_sync, is_other_account);
        CHECK(others.share_in_time() >= 0.99);
        CHECK(burst->of(event_pick).share_in_time() >= 0.99);
        // Without the burst the others wait for the same slots, only less often for this account.
        CHECK(others.wait_of_95_percent() <= others_before.wait_of_95_percent() + 200ms);
        const auto by_arrival = with_large_account({false, true}, seed, true);
        const outcomes unfair = by_arrival->of(cat_sync, is_other_account);
        CHECK(unfair.wait_of_95_percent() > 2 * others.wait_of_95_percent());
    }
}

// Load: a flood of the most urgent kind beyond what the servers can run. Guards against the rest
// that gets nothing for as long as it lasts, and against a floor that takes much from the urgent.
TEST_CASE("a flood of urgent work leaves the others their floor")
{
    for (const bool fair : {true, false}) {
        simulation run{{fair, true}, 3};
        run.add(event_pick, 300.0, 0s, load_duration, usual_account);
        run.add(cat_sync, usual_cat_sync, 0s, load_duration, usual_account);
        run.run();
        const auto synced = static_cast<double>(run.of(cat_sync).started_in_load);
        const double all = synced + static_cast<double>(run.of(event_pick).started_in_load);
        CHECK((synced >= 0.08 * all) == fair);
        CHECK(synced <= 0.12 * all);
    }
}

// Load: a flood of many clients that are refused at the same moment. Guards against a wave of
// returning clients that is refused again.
TEST_CASE("clients that are refused together return at a rate that the servers can run")
{
    retry_schedule schedule;
    const time_point now{1s};
    std::multiset<duration> returns;
    for (int client = 0; client < 120; ++client) {
        returns.insert(schedule.next(2, "north", 300ms, 10ms, now));
    }
    CHECK(*returns.begin() == 300ms);
    CHECK(*returns.rbegin() <= 300ms + 2s);
    for (const duration from : returns) {
        const auto within =
            std::distance(returns.lower_bound(from), returns.lower_bound(from + 100ms));
        CHECK(within <= 10);
    }
    // Those of another priority are not made to wait for them.
    CHECK(schedule.next(0, "north", 300ms, 10ms, now) == 300ms);
    // Nor are those of another account.
    CHECK(schedule.next(2, "south", 300ms, 10ms, now) <= 400ms);
}

// Load: reads that fill the queue while a write arrives, and the reverse at the primary. Guards
// against a write that is refused because of reads that other servers run.
TEST_CASE("an admitted write is not refused for reads that don't compete for the primary")
{
    std::vector<std::unique_ptr<item>> all;
    wait_queue queue;
    queue.set_fair(true);
    queue.update({slots, 10ms}, time_point{});
    const auto add = [&](bool needs_primary, bool only_primary) {
        auto made = std::make_unique<item>();
        made->needs_primary = needs_primary;
        made->only_primary = only_primary;
        made->start_deadline = time_point{500ms};
        queue.push(*made);
        all.push_back(std::move(made));
    };
    for (int i = 0; i < 200; ++i) {
        add(false, false);
    }
    add(true, false);
    item arriving;
    arriving.needs_primary = true;
    CHECK(queue.count_ahead(arriving) == 1);
    const auto expected = [](const queued_statement&, std::size_t ahead) {
        return 10ms * static_cast<std::int64_t>(ahead);
    };
    const auto unservable = find_unservable(queue, time_point{200ms}, expected);
    CHECK(unservable.size() == 170); // the reads behind 30 others
    CHECK(std::none_of(unservable.begin(), unservable.end(),
                       [](const auto* found) { return found->needs_primary; }));
    add(false, true); // a read that no replica can run competes for the primary
    CHECK(queue.count_ahead(arriving) == 2);
    queue.set_fair(false);
    CHECK(queue.count_ahead(arriving) == 2);
    CHECK(queue.size() == 202);
}
