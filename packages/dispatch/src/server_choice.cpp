#include "gypsumstep/dispatch/server_choice.h"

#include <algorithm>

namespace gypsumstep::dispatch {
namespace {

/// First backoff before a replica that lagged is tried again: about the usual replication
/// delay.
constexpr duration min_lag_backoff = 10ms;

/// Longest such backoff; bounds how long a replica that caught up stays unused.
constexpr duration max_lag_backoff = 320ms;

/// Added to the age of a refused read, since the lag exceeds that age by an unknown time.
constexpr duration lag_step = 5ms;

/// A server in another region is preferred only if it is this much faster, since traffic
/// between regions is billed.
constexpr duration remote_penalty = 30ms;

/// Likewise for a server in another failure domain of the same region.
constexpr duration region_penalty = 2ms;

/// A replica is preferred unless the primary is this much faster. The penalty grows with each
/// statement in flight on the primary, since only the primary can run writes.
constexpr duration primary_penalty = 30ms;

/// Expected time to open a new connection.
constexpr duration connection_penalty = 20ms;

/// Statements in flight for each slot of a server, summed over all daemons. More than one is
/// needed because a round trip between regions takes about as long as a statement and the
/// daemons are not evenly loaded.
constexpr std::uint32_t statements_per_slot = 5;

duration expected_time(const candidate& server)
{
    duration expected = server.mean_response_time;
    // This daemon's statements that the server already has compete for the same slots.
    expected += server.mean_response_time * server.in_flight / std::max(server.limit, 1U);
    switch (server.distance) {
    case proximity::same_domain:
        break;
    case proximity::same_region:
        expected += region_penalty;
        break;
    case proximity::remote:
        expected += remote_penalty;
        break;
    }
    if (server.is_primary) {
        expected += primary_penalty * (1 + server.in_flight);
    }
    if (server.needs_connection) {
        expected += connection_penalty;
    }
    return expected;
}

} // namespace

void replica_lag_estimate::on_refused(duration age, time_point now)
{
    m_lag = std::max(m_lag, age + lag_step);
    m_backoff =
        m_backoff == duration{0} ? min_lag_backoff : std::min(m_backoff * 2, max_lag_backoff);
    m_next_attempt = now + m_backoff;
}

void replica_lag_estimate::on_served(duration age)
{
    if (age < m_lag) {
        m_lag = age;
        m_backoff = duration{0};
    }
}

bool replica_lag_estimate::expects_refusal(duration age, time_point now) const
{
    return age < m_lag && now < m_next_attempt;
}

std::uint32_t fair_statement_limit(std::uint32_t slots, std::uint32_t daemons,
                                   std::uint32_t min_limit)
{
    const std::uint32_t divisor = std::max(daemons, 1U);
    return std::max((slots * statements_per_slot + divisor - 1) / divisor, min_limit);
}

std::optional<server_id> choose_for_read(std::span<const candidate> candidates)
{
    std::optional<server_id> best;
    duration best_time{0};
    for (const candidate& server : candidates) {
        if (server.in_flight >= server.limit || server.expects_lag_refusal) {
            continue;
        }
        const duration time = expected_time(server);
        if (!best || time < best_time) {
            best = server.id;
            best_time = time;
        }
    }
    return best;
}

} // namespace gypsumstep::dispatch
