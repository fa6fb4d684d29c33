/// \file
/// Metrics of the daemon on the users' platform.
#pragma once

#include "gypsumstep/metrics/registry.h"
#include "gypsumstep/proxy/actions.h"
#include "gypsumstep/proxy/proxy.h"

#include <map>
#include <string>
#include <utility>

namespace gypsumstep::edge {

/// Registers the daemon's metrics and updates them. Create one per process.
class edge_metrics {
public:
    explicit edge_metrics(metrics::registry& registry);

    void count(const proxy::statement_finished& finished);
    void count(const proxy::decision& decision);
    /// Sets the gauges.
    void set(const proxy::proxy_gauges& numbers);

private:
    struct outcome_metrics {
        metrics::counter* total{nullptr};
        metrics::histogram* latency{nullptr};
    };

    metrics::registry& m_registry;
    std::map<std::pair<directory::consistency, statement::error_class>, outcome_metrics> m_outcomes;
    std::map<const char*, metrics::counter*> m_decisions;
    std::map<dispatch::proximity, metrics::counter*> m_reads;
    metrics::counter& m_replica_answers;
    metrics::counter& m_reads_sent_away;
    metrics::gauge& m_sessions;
    metrics::gauge& m_server_connections;
    metrics::gauge& m_waiting_statements;
    metrics::gauge& m_running_statements;
    metrics::gauge& m_avoided_servers;
};

} // namespace gypsumstep::edge
