/// \file
/// Metrics of the daemon on the users' platform.
#pragma once

#include "gypsumstep/metrics/registry.h"
#include "gypsumstep/proxy/actions.h"
#include "gypsumstep/proxy/proxy.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace gypsumstep::edge {

/// Numbers about the store in the life of the process.
struct store_numbers {
    std::uint64_t era{0};             ///< newest known; 0 if the store tells none
    std::uint64_t rollbacks{0};       ///< times that the store went back
    std::uint64_t late_answers{0};    ///< thrown away, since they belong to an earlier era
    std::uint64_t restored_claims{0}; ///< written again after the store had lost them
};

/// Registers the daemon's metrics and updates them. Create one per process.
class edge_metrics {
public:
    explicit edge_metrics(metrics::registry& registry);

    void count(const proxy::statement_finished& finished);
    void count(const proxy::decision& decision);
    /// Sets the gauges.
    void set(const proxy::proxy_gauges& numbers);
    void set(const store_numbers& numbers);

private:
    struct outcome_metrics {
        metrics::counter* total{nullptr};
        metrics::histogram* latency{nullptr};
    };

    /// Advances a counter to a total that the proxy counted.
    void advance(const char* name, const char* help, const metrics::labels& labels,
                 std::uint64_t total);

    metrics::registry& m_registry;
    std::map<std::pair<directory::consistency, statement::error_class>, outcome_metrics> m_outcomes;
    std::map<const char*, metrics::counter*> m_decisions;
    std::map<dispatch::proximity, metrics::counter*> m_reads;
    metrics::counter& m_replica_answers;
    metrics::counter& m_reads_sent_away;
    metrics::gauge& m_sessions;
    metrics::gauge& m_server_connections;
    metrics::gauge& m_waiting_statements;
    metrics::gauge& m_waiting_accounts;
    metrics::gauge& m_running_statements;
    metrics::gauge& m_avoided_servers;
    metrics::gauge& m_store_era;
    metrics::gauge& m_store_rollbacks;
    metrics::gauge& m_store_late_answers;
    metrics::gauge& m_restored_claims;
};

} // namespace gypsumstep::edge
