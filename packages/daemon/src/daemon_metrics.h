/// \file
/// The metrics that the client listener updates.
#pragma once

#include "messages.h"

#include "gypsumstep/intake/ledger.h"
#include "gypsumstep/metrics/registry.h"

#include <array>
#include <string>

namespace gypsumstep::daemon {

/// Counters and latencies of statements. Registered once; updates take no lock.
class daemon_metrics {
public:
    explicit daemon_metrics(metrics::registry& registry);

    /// Counts a statement of rank \p level that ended after \p latency.
    void count(rank level, execute_outcome outcome, bool on_replica, duration latency,
               time_point now);

    /// Counts a session that was closed to protect the process.
    void count(intake::closing cause) { m_closings.at(static_cast<std::size_t>(cause))->add(); }

    /// Number of open sessions.
    metrics::gauge& sessions() { return m_sessions; }

private:
    static constexpr std::size_t outcome_count = 5;

    std::array<metrics::summary*, rank_count> m_latency{};
    std::array<std::array<metrics::counter*, outcome_count>, rank_count> m_outcomes{};
    std::array<metrics::counter*, intake::closing_count> m_closings{};
    metrics::counter& m_replica_answers;
    metrics::gauge& m_sessions;
};

} // namespace gypsumstep::daemon
