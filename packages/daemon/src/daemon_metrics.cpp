#include "daemon_metrics.h"

namespace gypsumstep::daemon {
namespace {

constexpr std::array<const char*, rank_count> rank_names{"urgent", "next", "last"};
constexpr std::array<const char*, 5> outcome_names{"answered", "not_run", "behind", "unknown",
                                                   "already_run"};

} // namespace

daemon_metrics::daemon_metrics(metrics::registry& registry)
    : m_replica_answers{registry.make_counter("gypsumstep_replica_answers_total",
                                              "Statements answered by a replica")},
      m_sessions{registry.make_gauge("gypsumstep_sessions", "Open sessions of callers")}
{
    for (std::size_t i = 0; i < intake::closing_count; ++i) {
        m_closings[i] = &registry.make_counter(
            "gypsumstep_connections_closed_total", "Connections closed to protect the process",
            {{"cause", intake::to_string(static_cast<intake::closing>(i))}});
    }
    for (const rank level : all_ranks) {
        const std::string name = rank_names[index_of(level)];
        m_latency[index_of(level)] = &registry.make_summary(
            "gypsumstep_statement_seconds", "Time from statement to answer", {{"rank", name}});
        for (std::size_t i = 0; i < outcome_count; ++i) {
            m_outcomes[index_of(level)][i] =
                &registry.make_counter("gypsumstep_statements_total", "Statements by outcome",
                                       {{"rank", name}, {"outcome", outcome_names[i]}});
        }
    }
}

void daemon_metrics::count(rank level, execute_outcome outcome, bool on_replica, duration latency,
                           time_point now)
{
    m_outcomes[index_of(level)][static_cast<std::size_t>(outcome)]->add();
    if (outcome != execute_outcome::answered) {
        return;
    }
    m_latency[index_of(level)]->observe(latency, now);
    if (on_replica) {
        m_replica_answers.add();
    }
}

} // namespace gypsumstep::daemon
