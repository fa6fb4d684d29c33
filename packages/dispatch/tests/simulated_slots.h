/// \file
/// The slots of the servers in a simulated load.
#pragma once

#include "gypsumstep/base/time.h"

#include <cstddef>
#include <functional>
#include <queue>
#include <vector>

namespace gypsumstep::dispatch::test {

/// A number of slots, each busy until the statement that it runs ends.
class simulated_slots {
public:
    explicit simulated_slots(std::size_t count) : m_count{count} {}

    [[nodiscard]] bool has_free() const { return m_ends.size() < m_count; }

    /// Lets a free slot run a statement until \p end.
    void occupy(time_point end) { m_ends.push(end); }

    /// Calls \p freed(moment) for each slot that becomes free up to \p now, in order of time.
    /// The call may occupy the slot again.
    template <class Freed>
    void advance_to(time_point now, Freed&& freed)
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
