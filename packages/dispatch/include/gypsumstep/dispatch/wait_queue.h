/// \file
/// Statements that wait for a server of one database group.
#pragma once

#include "gypsumstep/base/time.h"

#include <boost/intrusive/list.hpp>

#include <cstdint>
#include <map>

namespace gypsumstep::dispatch {

/// The part of a statement that ordering needs; what waits derives from it.
struct queued_statement : boost::intrusive::list_base_hook<> {
    std::uint32_t priority{0};   ///< 0 goes first
    time_point arrived{};        ///< when its client sent it
    time_point start_deadline{}; ///< it is refused if it has not started by then
    bool needs_primary{false};
};

/// Orders statements by priority, then by arrival.
///
/// Items are linked, not owned; an item leaves the queue before it is destroyed.
class wait_queue {
public:
    using list = boost::intrusive::list<queued_statement>;

    wait_queue() = default;
    ~wait_queue() { clear(); }
    wait_queue(const wait_queue&) = delete;
    wait_queue& operator=(const wait_queue&) = delete;

    /// Adds an item in its order. An item that waited before keeps its place by arrival.
    void push(queued_statement& item);

    /// Takes an item out; it must be linked.
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

    /// Number of items that a new one of this priority would wait behind.
    [[nodiscard]] std::size_t count_ahead(std::uint32_t priority, bool needs_primary) const;

    [[nodiscard]] std::size_t size() const;

private:
    void clear();

    std::map<std::uint32_t, list> m_by_priority;
};

} // namespace gypsumstep::dispatch
