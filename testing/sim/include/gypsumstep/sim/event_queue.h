/// \file
/// An event queue in virtual time, with which tests run the proxy's decision code
/// deterministically.
#pragma once

#include "gypsumstep/base/time.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace gypsumstep::sim {

/// Runs callbacks in the order of their virtual time; ties run in the order scheduled.
class event_queue {
public:
    using callback = std::function<void()>;

    /// The current virtual time.
    [[nodiscard]] time_point now() const { return m_now; }

    /// Schedules \p run after \p delay; a negative delay counts as zero.
    void after(duration delay, callback run)
    {
        m_events.push_back({m_now + std::max(delay, duration{0}), m_sequence++, std::move(run)});
        std::push_heap(m_events.begin(), m_events.end());
    }

    /// Runs the earliest event; false if there is none.
    bool step()
    {
        if (m_events.empty()) {
            return false;
        }
        std::pop_heap(m_events.begin(), m_events.end());
        event next = std::move(m_events.back());
        m_events.pop_back();
        m_now = next.at;
        next.run();
        return true;
    }

    /// Runs every event up to \p end, then sets the time to \p end.
    void run_until(time_point end)
    {
        while (!m_events.empty() && m_events.front().at <= end) {
            step();
        }
        m_now = end;
    }

private:
    struct event {
        time_point at;
        std::uint64_t sequence;
        callback run;

        friend bool operator<(const event& left, const event& right)
        {
            return left.at != right.at ? left.at > right.at : left.sequence > right.sequence;
        }
    };

    time_point m_now{};
    std::uint64_t m_sequence{0};
    std::vector<event> m_events; ///< a heap, earliest first
};

} // namespace gypsumstep::sim
