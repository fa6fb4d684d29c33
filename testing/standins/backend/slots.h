/// \file
/// Slots of the backend stand-in: how many statements run at a time, and for how long.
#pragma once

#include "gypsumstep/base/time.h"

#include <QObject>
#include <QPointer>
#include <QTimer>

#include <cstdint>
#include <deque>
#include <functional>

namespace gypsumstep::standin {

/// Runs work after it occupied one of the slots for the service time.
class slot_pool {
public:
    slot_pool(std::uint32_t slots, duration service_time)
        : m_free{slots}, m_service_time{service_time}
    {
    }

    /// Runs \p work for \p owner once a slot was held for the service time;
    /// drops it if the owner is gone by then.
    void run(QObject* owner, std::function<void()> work)
    {
        if (m_service_time == duration{0}) {
            work();
            return;
        }
        m_waiting.push_back({owner, std::move(work)});
        start_waiting();
    }

    void set_service_time(duration service_time) { m_service_time = service_time; }

private:
    struct waiting_work {
        QPointer<QObject> owner;
        std::function<void()> work;
    };

    void start_waiting()
    {
        while (m_free > 0 && !m_waiting.empty()) {
            waiting_work next = std::move(m_waiting.front());
            m_waiting.pop_front();
            --m_free;
            const auto hold = std::chrono::ceil<std::chrono::milliseconds>(m_service_time);
            QTimer::singleShot(hold, Qt::PreciseTimer, [this, next = std::move(next)] {
                ++m_free;
                if (next.owner) {
                    next.work();
                }
                start_waiting();
            });
        }
    }

    std::uint32_t m_free;
    duration m_service_time;
    std::deque<waiting_work> m_waiting;
};

} // namespace gypsumstep::standin
