/// \file
/// The slots of servers in a played load.
#pragma once

#include "gypsumstep/base/time.h"

#include <cstddef>
#include <functional>
#include <queue>
#include <vector>

namespace gypsumstep::dispatch::test {

/// Slots that are busy until their statements end.
class played_slots {
public:
    explicit played_slots(std::size_t count) : m_count{count} {}

    [[nodiscard]] bool has_free() const { return m_ends.size() < m_count; }

    /// A free slot runs a statement until \p end.
    void occupy(time_point end) { m_ends.push(end); }

    /// Calls \p freed(moment) for each slot that is free by \p now, in order; the call may
    /// occupy it again.
    template <class Freed>
    void pass_until(time_point now, Freed&& freed)
    {
        while (!m_ends.empty() && m_ends.top() <= now) {
            const time_point moment = m_ends.top();
            m_ends.pop();
            freed(moment);
        }
    }

private:
    std::size_t m_count;
    std::priority_queue<time_point, std::vector<time_point>, std::greater<>> m_ends;
};

} // namespace gypsumstep::dispatch::test
