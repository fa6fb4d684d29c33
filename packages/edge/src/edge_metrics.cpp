#include "edge_metrics.h"

namespace gypsumstep::edge {
namespace {

const char* route_label(directory::consistency reads)
{
    switch (reads) {
    case directory::consistency::primary:
        return "primary";
    case directory::consistency::bounded_age:
        return "bounded_age";
    case directory::consistency::read_your_writes:
        return "read_your_writes";
    }
    return "unknown";
}

const char* distance_label(dispatch::proximity distance)
{
    switch (distance) {
    case dispatch::proximity::same_domain:
        return "same_domain";
    case dispatch::proximity::same_region:
        return "same_region";
    case dispatch::proximity::remote:
        return "remote";
    }
    return "unknown";
}

} // namespace

edge_metrics::edge_metrics(metrics::registry& registry)
    : m_registry{registry}, m_replica_answers{registry.make_counter(
                                "gypsumstep_replica_answers_total",
                                "Statements answered by a replica")},
      m_reads_sent_away{registry.make_counter(
          "gypsumstep_reads_sent_away_total",
          "Successful reads that left their region because of the load there")},
      m_sessions{registry.make_gauge("gypsumstep_sessions", "Open sessions of clients")},
      m_server_connections{registry.make_gauge("gypsumstep_server_connections",
                                               "Open connections to backend servers")},
      m_waiting_statements{registry.make_gauge("gypsumstep_waiting_statements",
                                               "Statements that wait for a backend server")},
      m_waiting_accounts{
          registry.make_gauge("gypsumstep_waiting_accounts",
                              "Client accounts with waiting statements, summed over the groups")},
      m_running_statements{registry.make_gauge("gypsumstep_running_statements",
                                               "Statements that backend servers run")},
      m_avoided_servers{registry.make_gauge("gypsumstep_avoided_servers",
                                            "Backend servers that get no reads but probes")},
      m_store_era{registry.make_gauge("gypsumstep_store_era",
                                      "Newest known era of the store; 0 if it tells none")},
      m_store_rollbacks{registry.make_gauge("gypsumstep_store_rollbacks",
                                            "Times that the store went back to an earlier copy")},
      m_store_late_answers{registry.make_gauge("gypsumstep_store_late_answers",
                                               "Answers of an earlier era that were thrown away")},
      m_restored_claims{
          registry.make_gauge("gypsumstep_restored_claims",
                              "Claims that were written again after the store had lost them")}
{
}

void edge_metrics::count(const proxy::statement_finished& finished)
{
    outcome_metrics& entry = m_outcomes[{finished.reads, finished.outcome}];
    if (entry.total == nullptr) {
        const metrics::labels labels{{"route", route_label(finished.reads)},
                                     {"outcome", statement::to_string(finished.outcome)}};
        entry.total = &m_registry.make_counter("gypsumstep_statements_total",
                                               "Statements by kind of route and outcome", labels);
        entry.latency = &m_registry.make_histogram("gypsumstep_statement_seconds",
                                                   "Time from a statement to its answer", labels);
    }
    entry.total->add();
    entry.latency->observe(finished.latency);
    if (finished.on_replica && finished.outcome == statement::error_class::none) {
        m_replica_answers.add();
    }
    if (finished.sent_away) {
        m_reads_sent_away.add();
    }
    if (finished.read_distance) {
        metrics::counter*& total = m_reads[*finished.read_distance];
        if (total == nullptr) {
            total = &m_registry.make_counter(
                "gypsumstep_reads_total", "Successful reads by distance to their server",
                {{"distance", distance_label(*finished.read_distance)}});
        }
        total->add();
    }
}

void edge_metrics::count(const proxy::decision& decision)
{
    metrics::counter*& total = m_decisions[decision.message];
    if (total == nullptr) {
        total = &m_registry.make_counter("gypsumstep_decisions_total",
                                         "Decisions by their text in the logs",
                                         {{"decision", decision.message}});
    }
    total->add();
}

void edge_metrics::set(const proxy::proxy_gauges& numbers)
{
    m_sessions.set(static_cast<double>(numbers.sessions));
    m_server_connections.set(static_cast<double>(numbers.server_connections));
    m_waiting_statements.set(static_cast<double>(numbers.waiting_statements));
    m_waiting_accounts.set(static_cast<double>(numbers.waiting_accounts));
    m_running_statements.set(static_cast<double>(numbers.running_statements));
    m_avoided_servers.set(static_cast<double>(numbers.avoided_servers));
    const proxy::connection_counts& counts = numbers.connections;
    const auto connections = [this](const char* event, std::uint64_t total) {
        advance("gypsumstep_server_connection_events_total",
                "Connections to backend servers by event", {{"event", event}}, total);
    };
    connections("opened", counts.opened);
    connections("reused", counts.reused);
    connections("closed_for_other_account", counts.closed_for_other);
    connections("closed_for_limit", counts.closed_for_limit);
    const auto waits = [this](const char* cause, std::uint64_t total) {
        advance("gypsumstep_statement_waits_total", "Statements that waited, by cause",
                {{"cause", cause}}, total);
    };
    waits("no_connection", counts.waits_for_connection);
    waits("connection_limit", counts.waits_for_limit);
    waits("slots", counts.waits_for_slot);
}

void edge_metrics::set(const store_numbers& numbers)
{
    m_store_era.set(static_cast<double>(numbers.era));
    m_store_rollbacks.set(static_cast<double>(numbers.rollbacks));
    m_store_late_answers.set(static_cast<double>(numbers.late_answers));
    m_restored_claims.set(static_cast<double>(numbers.restored_claims));
}

void edge_metrics::advance(const char* name, const char* help, const metrics::labels& labels,
                           std::uint64_t total)
{
    metrics::counter& counted = m_registry.make_counter(name, help, labels);
    counted.add(total - counted.value());
}

} // namespace gypsumstep::edge
