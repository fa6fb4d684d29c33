/// \file
/// A lossy network between numbered endpoints in virtual time.
#pragma once

#include "gypsumstep/base/random.h"
#include "gypsumstep/sim/event_queue.h"

#include <cstdint>
#include <set>
#include <utility>

namespace gypsumstep::sim {

/// Delay, loss and duplication of the messages on a link.
struct link_conditions {
    duration delay_low{500};
    duration delay_high{2'000};
    double loss{0.0};      ///< probability that a message is dropped
    double duplicate{0.0}; ///< probability that a message arrives twice
};

/// Delivers messages with loss, delay, duplication and one-way cuts.
class network {
public:
    using endpoint = std::uint32_t;

    network(event_queue& queue, random_source& random, link_conditions conditions)
        : m_queue{queue}, m_random{random}, m_conditions{conditions}
    {
    }

    /// Drops all messages that \p from sends to \p to from now on.
    void cut(endpoint from, endpoint to) { m_cuts.insert({from, to}); }

    /// Undoes cut().
    void heal(endpoint from, endpoint to) { m_cuts.erase({from, to}); }

    /// Undoes every cut.
    void heal_all() { m_cuts.clear(); }

    /// Changes loss, delay and duplication of messages that are sent from now on.
    void set_conditions(link_conditions conditions) { m_conditions = conditions; }

    /// Calls \p deliver after the link's delay, unless the message is lost; twice if the message is
    /// duplicated.
    void send(endpoint from, endpoint to, event_queue::callback deliver)
    {
        if (m_cuts.contains({from, to}) || m_random.chance(m_conditions.loss)) {
            return;
        }
        if (m_random.chance(m_conditions.duplicate)) {
            m_queue.after(delay(), deliver);
        }
        m_queue.after(delay(), std::move(deliver));
    }

private:
    duration delay() { return m_random.between(m_conditions.delay_low, m_conditions.delay_high); }

    event_queue& m_queue;
    random_source& m_random;
    link_conditions m_conditions;
    std::set<std::pair<endpoint, endpoint>> m_cuts;
};

} // namespace gypsumstep::sim
