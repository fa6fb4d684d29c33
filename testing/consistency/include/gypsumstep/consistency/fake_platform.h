/// \file
/// A hand-written platform table of one row, with outages, slowness and lost answers.
#pragma once

#include "gypsumstep/consistency/process.h"
#include "gypsumstep/failover/actions.h"

#include <functional>

namespace gypsumstep::consistency {

/// How the platform behaves at present.
enum class platform_mode { up, down, slow };

/// Holds the group's claim row.
class fake_platform {
public:
    fake_platform(surroundings& world, sim::network::endpoint address)
        : proc{world, address}, m_random{world.random}
    {
    }

    void set_mode(platform_mode mode) { m_mode = mode; }
    void set_lost_answers(double share) { m_lost_answers = share; }

    /// Carries out \p operation on the row after the service time, then \p answer unless lost.
    void serve(process& caller, const std::function<void(failover::claim_row&)>& operation,
               const process::callback& answer)
    {
        if (m_mode == platform_mode::down) {
            return;
        }
        const duration service = m_mode == platform_mode::slow ? m_random.between(500ms, 2s)
                                                               : m_random.between(2ms, 8ms);
        proc.after(service, [this, &caller, operation, answer] {
            operation(m_row);
            if (!m_random.chance(m_lost_answers)) {
                proc.send(caller, answer);
            }
        });
    }

    process proc;

private:
    random_source& m_random;
    platform_mode m_mode{platform_mode::up};
    double m_lost_answers{0.0};
    failover::claim_row m_row;
};

} // namespace gypsumstep::consistency
