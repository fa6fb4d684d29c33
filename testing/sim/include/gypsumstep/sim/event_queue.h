/// \file
/// A seeded event queue in virtual time that drives decision code in tests.
#pragma once

#include "gypsumstep/base/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace gypsumstep::sim {

/// Runs callbacks in the order of their virtual time; ties run in the order scheduled.
class event_queue {
public:
    using callback = std::function<void()>;

    /// The current virtual time.
    [[nodiscard]] time_point now() const { return m_now; }

    /// Schedules \p run after \p delay; a negative delay counts as none.
    void after(duration delay, callback run)
    {
        m_events.push({m_now + std::max(delay, duration{0}), m_sequence++, std::move(run)});
    }

    /// Runs the earliest event; false if there is none.
    bool step()
    {
        if (m_events.empty()) {
            return false;
        }
        event next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.run();
        return true;
    }

    /// Runs every event up to \p end, then sets the time to \p end.
    void run_until(time_point end)
    {
        while (!m_events.empty() && m_events.top().at <= end) {
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
    std::priority_queue<event> m_events;
};

} // namespace gypsumstep::sim
