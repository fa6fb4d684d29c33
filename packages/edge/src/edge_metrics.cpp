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
      m_running_statements{registry.make_gauge("gypsumstep_running_statements",
                                               "Statements that backend servers run")},
      m_avoided_servers{registry.make_gauge("gypsumstep_avoided_servers",
                                            "Backend servers that get no reads but probes")}
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
    m_running_statements.set(static_cast<double>(numbers.running_statements));
    m_avoided_servers.set(static_cast<double>(numbers.avoided_servers));
}

} // namespace gypsumstep::edge
