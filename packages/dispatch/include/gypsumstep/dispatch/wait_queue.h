/// \file
/// Queue of the statements that wait for a server of one database group.
#pragma once

#include "gypsumstep/base/time.h"

#include <boost/intrusive/list.hpp>

#include <cstdint>
#include <map>

namespace gypsumstep::dispatch {

/// The part of a statement that the queue orders by. Queued types derive from it.
struct queued_statement : boost::intrusive::list_base_hook<> {
    std::uint32_t priority{0};   ///< 0 is served first
    time_point arrived{};        ///< when its client sent it
    time_point start_deadline{}; ///< the statement is refused if it has not started by then
    bool needs_primary{false};
};

/// Orders statements by priority, then by arrival.
///
/// The list is intrusive: the queue does not own its items, and an item must be removed before
/// it is destroyed.
class wait_queue {
public:
    using list = boost::intrusive::list<queued_statement>;

    wait_queue() = default;
    ~wait_queue() { clear(); }
    wait_queue(const wait_queue&) = delete;
    wait_queue& operator=(const wait_queue&) = delete;

    /// Inserts an item at its place in the order. An item that is queued again is placed by its
    /// original arrival.
    void push(queued_statement& item);

    /// Removes an item, which must be in the queue.
    void remove(queued_statement& item);

    /// Calls \p visit(item) in order until it returns false. The visitor may remove the
    /// item that it is given.
    template <class Visitor>
    void visit(Visitor&& visit)
    {
        for (auto& [priority, items] : m_by_priority) {
            for (auto next = items.begin(); next != items.end();) {
                queued_statement& item = *next++;
                if (!visit(item)) {
                    return;
                }
            }
        }
    }

    /// Returns the number of items that a new one of this priority would wait behind. A new item
    /// that needs the primary waits only behind others that need it.
    [[nodiscard]] std::size_t count_ahead(std::uint32_t priority, bool needs_primary) const;

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] bool empty() const { return size() == 0; }

private:
    void clear();

    std::map<std::uint32_t, list> m_by_priority;
};

} // namespace gypsumstep::dispatch
