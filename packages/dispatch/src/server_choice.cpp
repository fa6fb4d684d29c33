#include "gypsumstep/dispatch/server_choice.h"

#include <algorithm>

namespace gypsumstep::dispatch {
namespace {

/// First pause before a replica that lagged is tried again: about the usual replication
/// delay.
constexpr duration first_lag_wait = 10ms;

/// Longest such pause; bounds how long a replica that caught up stays unused.
constexpr duration longest_lag_wait = 320ms;

/// A refused read shows that the lag is longer than its age by an unknown time.
constexpr duration lag_step = 5ms;

/// Bytes between regions are paid for; a remote replica has to be this much faster.
constexpr duration remote_penalty = 30ms;

/// The same between failure domains of one region.
constexpr duration region_penalty = 2ms;

/// A replica is preferred unless the primary is this much faster; more with each
/// statement that it runs, since only the primary can run writes.
constexpr duration primary_penalty = 30ms;

/// Cost of opening a connection first.
constexpr duration connection_penalty = 20ms;

/// Statements in flight for each slot of a server, over all daemons: a round trip between
/// regions lasts about as long as a statement, and the load is not even over the daemons.
constexpr std::uint32_t statements_per_slot = 5;

duration expected_time(const candidate& server)
{
    duration expected = server.mean_response_time;
    // Work of this daemon that is already there competes for the same slots.
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
    m_wait = m_wait == duration{0} ? first_lag_wait : std::min(m_wait * 2, longest_lag_wait);
    m_try_again = now + m_wait;
}

void replica_lag_estimate::on_served(duration age)
{
    if (age < m_lag) {
        m_lag = age;
        m_wait = duration{0};
    }
}

bool replica_lag_estimate::expects_refusal(duration age, time_point now) const
{
    return age < m_lag && now < m_try_again;
}

std::uint32_t fair_statement_limit(std::uint32_t slots, std::uint32_t sharing, std::uint32_t least)
{
    const std::uint32_t divisor = std::max(sharing, 1U);
    return std::max((slots * statements_per_slot + divisor - 1) / divisor, least);
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
