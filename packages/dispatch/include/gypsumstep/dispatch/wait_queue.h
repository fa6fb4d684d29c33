/// \file
/// Queue of the statements that wait for a server of one database group.
#pragma once

#include "gypsumstep/base/time.h"
#include "gypsumstep/scheduling/fair_queue.h"
#include "gypsumstep/scheduling/floor_credit.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace gypsumstep::dispatch {

/// The part of a statement that the queue orders by. Queued types derive from it.
///
/// \c arrived, of the base, is the time when its client sent it. \c restricted is set by the
/// queue: the statement competes only with others that need the primary.
struct queued_statement : scheduling::fair_item {
    std::uint32_t priority{0};   ///< 0 is served first
    std::string account;         ///< client account for which it runs; empty for none
    time_point start_deadline{}; ///< the statement is refused if it has not started by then
    bool needs_primary{false};
    bool only_primary{false}; ///< another server could run it, but none is expected to be able to
    duration charged{0};      ///< slot time charged when it started, set by the queue
};

/// What the queue's order and estimates depend on besides the statements.
struct queue_conditions {
    std::uint32_t slots{0};     ///< statements that the servers run at a time for this daemon
    duration mean_slot_time{0}; ///< how long a statement occupies a slot

    friend bool operator==(const queue_conditions&, const queue_conditions&) = default;
};

/// Orders statements by priority, and fairly between the accounts of one priority: see
/// scheduling::fair_queue. Each priority but the most urgent keeps a floor of the slot time while
/// it waits. Without fairness between accounts, orders by priority, then by arrival, without
/// floors.
///
/// The queue does not own its items, and an item must be removed before it is destroyed. The cost
/// of push(), remove() and start() grows with the logarithm of the accounts and statements, that
/// of count_ahead() with the number of waiting accounts of one priority.
class wait_queue {
public:
    wait_queue() = default;
    ~wait_queue() { clear(); }
    wait_queue(const wait_queue&) = delete;
    wait_queue& operator=(const wait_queue&) = delete;

    /// Sets whether the order is fair between accounts and has floors; initially it is not.
    /// Waiting statements keep their arrival.
    void set_fair(bool fair);
    [[nodiscard]] bool is_fair() const { return m_fair; }

    /// Sets the conditions since the last call, and lets the floors earn slot time until \p now.
    void update(const queue_conditions& conditions, time_point now);

    /// Inserts an item at its place in the order. An item that is queued again is placed by its
    /// original arrival.
    void push(queued_statement& item);

    /// Removes an item, which must be in the queue.
    void remove(queued_statement& item);

    /// Removes an item that starts now, and charges its account and priority the mean slot time.
    void start(queued_statement& item);

    /// Charges the account and the priority of a statement that ran for \p slot_time the
    /// difference from what start() charged, which is nothing for one that did not wait.
    void finished(queued_statement& item, duration slot_time);

    /// Calls \p visit(item) in order until it returns false. Items may be added, removed and
    /// started meanwhile.
    template <class Visitor>
    void visit(Visitor&& visit)
    {
        std::vector<pass> passes = begin_passes(duration{0});
        while (pass* const chosen = choose(passes)) {
            queued_statement* const item = chosen->place->next();
            if (item == nullptr) {
                chosen->done = true;
                continue;
            }
            m_visited_by_floor =
                chosen != &*std::find_if(passes.begin(), passes.end(),
                                         [](const pass& each) { return !each.done; })
                    ? item
                    : nullptr;
            if (!visit(*item)) {
                return;
            }
        }
    }

    /// Calls \p visit(item, ahead) for all items in the order in which they are expected to start.
    /// \c ahead is the number of items that start before it, of those for which \p visit returned
    /// true. The visitor must not change the queue.
    template <class Visitor>
    void visit_expected(Visitor&& visit)
    {
        counts more_urgent;
        counts less_urgent = total();
        for (auto& [priority, waiting] : m_levels) {
            less_urgent -= counts_of(waiting);
            counts same;
            scheduling::fair_queue<queued_statement, std::string>::cursor place{
                waiting.statements, m_conditions.mean_slot_time};
            while (queued_statement* const item = place.next()) {
                const std::size_t ahead = expected_ahead(
                    std::max(same.of(item->restricted), m_fair ? place.starts_before_last() : 0),
                    more_urgent.of(item->restricted), less_urgent.of(item->restricted),
                    floor_of(priority));
                if (visit(*item, ahead)) {
                    ++same.all;
                    same.restricted += item->restricted ? 1 : 0;
                }
            }
            more_urgent += same;
        }
    }

    /// Returns the number of items that are expected to start before \p arriving, which is not in
    /// the queue. A statement that needs the primary waits only behind others that need it.
    [[nodiscard]] std::size_t count_ahead(const queued_statement& arriving) const;

    [[nodiscard]] std::size_t size() const { return total().all; }
    [[nodiscard]] bool empty() const { return size() == 0; }

    /// Number of waiting statements of one priority and account.
    [[nodiscard]] std::size_t size_of(std::uint32_t priority, const std::string& account) const;

    /// Number of accounts with waiting statements, summed over the priorities.
    [[nodiscard]] std::size_t waiting_accounts() const;

    /// Number of statements that started before more urgent ones because of a floor.
    [[nodiscard]] std::uint64_t starts_by_floor() const { return m_starts_by_floor; }

private:
    using fair_queue = scheduling::fair_queue<queued_statement, std::string>;

    /// The waiting statements of one priority.
    struct level {
        fair_queue statements;
        scheduling::floor_credit credit;
    };

    /// Numbers of waiting statements.
    struct counts {
        std::size_t all{0};
        std::size_t restricted{0};

        [[nodiscard]] std::size_t of(bool only_restricted) const
        {
            return only_restricted ? restricted : all;
        }
        counts& operator+=(const counts& other)
        {
            all += other.all;
            restricted += other.restricted;
            return *this;
        }
        counts& operator-=(const counts& other)
        {
            all -= other.all;
            restricted -= other.restricted;
            return *this;
        }
    };

    /// The visit of one priority's statements.
    struct pass {
        level* visited{nullptr};
        std::unique_ptr<fair_queue::cursor> place;
        bool done{false};
    };

    [[nodiscard]] std::vector<pass> begin_passes(duration step);
    [[nodiscard]] static pass* choose(std::vector<pass>& passes);
    [[nodiscard]] static counts counts_of(const level& waiting)
    {
        return {waiting.statements.size(), waiting.statements.size(true)};
    }
    [[nodiscard]] counts total() const;
    [[nodiscard]] const std::string& account_of(const queued_statement& item) const;
    /// Share of the slot time that a priority keeps under a flood of more urgent ones.
    [[nodiscard]] double floor_of(std::uint32_t priority) const;
    [[nodiscard]] std::size_t expected_ahead(std::size_t same, std::size_t more_urgent,
                                             std::size_t less_urgent, double floor) const;
    void clear();

    std::map<std::uint32_t, level> m_levels; ///< by priority; a level stays once it was used
    bool m_fair{false};
    queue_conditions m_conditions;
    time_point m_updated{};
    const queued_statement* m_visited_by_floor{nullptr}; ///< item that a floor put first
    std::uint64_t m_starts_by_floor{0};
};

} // namespace gypsumstep::dispatch
