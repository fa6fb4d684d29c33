/// \file
/// A model of a backend server with a fixed number of slots, in virtual time.
#pragma once

#include "gypsumstep/sim/event_queue.h"

#include <cstdint>
#include <deque>
#include <functional>

namespace gypsumstep::flood {

/// Runs as many statements at a time as it has slots. Further statements wait in the server and
/// are served in order of arrival.
class server_model {
public:
    using callback = std::function<void()>;

    server_model(sim::event_queue& events, std::uint32_t slots) : m_events{events}, m_slots{slots}
    {
    }

    /// Multiplies the service time of statements that start from now on.
    void set_slowdown(double factor) { m_slowdown = factor; }

    /// Runs a statement with the given service time and calls \p done when it has finished.
    void run(duration service_time, callback done)
    {
        m_waiting.push_back({service_time, std::move(done)});
        start_waiting();
    }

private:
    struct statement {
        duration service_time;
        callback done;
    };

    void start_waiting()
    {
        while (m_running < m_slots && !m_waiting.empty()) {
            statement first = std::move(m_waiting.front());
            m_waiting.pop_front();
            m_running += 1;
            const auto length = static_cast<double>(first.service_time.count()) * m_slowdown;
            m_events.after(duration{static_cast<duration::rep>(length)},
                           [this, done = std::move(first.done)] {
                               m_running -= 1;
                               done();
                               start_waiting();
                           });
        }
    }

    sim::event_queue& m_events;
    std::uint32_t m_slots;
    std::uint32_t m_running{0};
    double m_slowdown{1.0};
    std::deque<statement> m_waiting;
};

} // namespace gypsumstep::flood
