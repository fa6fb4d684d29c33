/// \file
/// The metrics that the caller front keeps.
#pragma once

#include "messages.h"

#include "gypsumstep/metrics/registry.h"

#include <array>
#include <string>

namespace gypsumstep::daemon {

/// Counters and latencies of statements, made once and used without a lock.
class daemon_metrics {
public:
    explicit daemon_metrics(metrics::registry& registry);

    /// A statement of \p level ended after \p latency.
    void count(rank level, execute_outcome outcome, bool on_replica, duration latency,
               time_point now);

    /// Sessions open now.
    metrics::gauge& sessions() { return m_sessions; }

private:
    static constexpr std::size_t outcome_count = 5;

    std::array<metrics::summary*, rank_count> m_latency{};
    std::array<std::array<metrics::counter*, outcome_count>, rank_count> m_outcomes{};
    metrics::counter& m_replica_answers;
    metrics::gauge& m_sessions;
};

} // namespace gypsumstep::daemon
