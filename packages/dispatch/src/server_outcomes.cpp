#include "gypsumstep/dispatch/server_outcomes.h"

#include <algorithm>
#include <cmath>

namespace gypsumstep::dispatch {
namespace {

/// Half-life of the weights: long enough for several requests of a home with 10 requests per
/// second, short enough that a fault of some seconds is soon forgotten.
constexpr duration half_life = 2s;

/// A server is avoided from this share of failures on. A healthy server fails a few per cent.
constexpr double avoided_share = 0.25;

/// Weight of failures below which a server is not avoided: three within a short time, so that a
/// single lost connection does not count.
constexpr double min_failures = 2.5;

/// Weight of an answer that says that the server has no capacity. Half of a failure, since the
/// requests of other daemons may be the cause.
constexpr double overload_weight = 0.5;

/// Time between two probes: the probes of six homes are a few per cent of a server's work.
constexpr duration probe_interval = 150ms;

/// Time between two probes of a server that is silent: each may cost a caller the silence limit.
constexpr duration silent_probe_interval = 500ms;

/// Probes in a row that must succeed: first, and at most after repeated failures. A server that
/// fails 45 % of its requests passes four with a probability of 9 %, sixteen with less than 0.01 %.
constexpr std::uint32_t min_required_successes = 4;
constexpr std::uint32_t max_required_successes = 16;

/// A server that is avoided again within this time needs twice as many successes.
constexpr duration relapse_period = 10s;

/// Weight of a new measurement: of the recent mean (as before), and of the long-term mean, which
/// spans some seconds of a home's reads.
constexpr std::int64_t recent_smoothing = 8;
constexpr std::int64_t long_term_smoothing = 64;

/// Measurements of the steady and quiet means: with exponential service times of 15 ms behind a
/// round trip of 40 ms, their standard deviation is 4 %.
constexpr std::int64_t steady_smoothing = 32;

/// Measurements after which the quiet mean is used. With 6 to 16 of them, simulated runs could not
/// tell a busy server from a quiet one; 32 take about 2 s.
constexpr std::int64_t min_quiet_measurements = steady_smoothing;

/// An increased response time decays with this half-life once nothing was measured for as long.
constexpr duration slowness_half_life = 1s;

/// A server counts as silent after this multiple of its usual response time, within these bounds.
/// The lower one exceeds round trips between regions and short pauses; the upper one is about half
/// of the shortest statement timeout in use (800 ms), so that a read can still run elsewhere.
constexpr int silence_multiple = 10;
constexpr duration min_silence = 200ms;
constexpr duration max_silence = 400ms;

/// A read is hedged after this multiple of its server's usual time, but not before the minimum
/// delay, and early enough that a second server can answer within the timeout.
constexpr int hedge_multiple = 6;
constexpr duration min_hedge_delay = 200ms;
constexpr int hedge_timeout_divisor = 2;

/// Share of the successful reads that may be retried.
constexpr double retry_share = 0.2;

double halved_per(duration elapsed, duration period)
{
    return std::exp2(-static_cast<double>(elapsed.count()) / static_cast<double>(period.count()));
}

} // namespace

void server_outcomes::decay(time_point now)
{
    const double weight = halved_per(std::max(now - m_weighed_at, duration{0}), half_life);
    m_requests *= weight;
    m_failures *= weight;
    m_weighed_at = now;
}

double server_outcomes::failure_share() const
{
    // Both weights decay alike, so their ratio does not depend on the time.
    return m_requests == 0.0 ? 0.0 : m_failures / m_requests;
}

void server_outcomes::avoid(time_point now)
{
    if (!m_avoided) {
        const bool relapsed = m_required_successes > 0 && now - m_used_again_at < relapse_period;
        m_required_successes = relapsed ? std::min(m_required_successes * 2, max_required_successes)
                                        : min_required_successes;
        m_avoided = true;
        m_last_probe = now;
    }
    m_missing_successes = m_required_successes;
}

void server_outcomes::on_silence(time_point now)
{
    m_silent = true;
    avoid(now);
}

void server_outcomes::on_outcome(request_outcome outcome, time_point now)
{
    decay(now);
    m_requests += 1.0;
    switch (outcome) {
    case request_outcome::answered:
        if (m_avoided && --m_missing_successes == 0) {
            m_avoided = false;
            m_used_again_at = now;
            m_requests = 0.0;
            m_failures = 0.0;
        }
        return;
    case request_outcome::overloaded:
        m_failures += overload_weight;
        break;
    case request_outcome::failed:
    case request_outcome::lost:
    case request_outcome::not_reached:
        m_failures += 1.0;
        break;
    }
    if (m_avoided || (m_failures >= min_failures && failure_share() >= avoided_share)) {
        avoid(now);
    }
}

bool server_outcomes::may_probe(time_point now, bool has_unanswered) const
{
    if (m_silent) {
        return !has_unanswered && now - m_last_probe >= silent_probe_interval;
    }
    return now - m_last_probe >= probe_interval;
}

void response_time_estimate::on_measured(duration time, time_point now, bool is_quiet)
{
    // An increase that has decayed meanwhile is not taken up again.
    m_recent = expected(now);
    m_recent += (time - m_recent) / recent_smoothing;
    m_long_term = m_long_term == duration{0}
                      ? time
                      : m_long_term + (time - m_long_term) / long_term_smoothing;
    m_measured_at = now;
    m_measurements = std::min(m_measurements + 1, steady_smoothing);
    m_steady += (time - m_steady) / m_measurements;
    if (is_quiet || m_quiet_measurements < min_quiet_measurements) {
        m_quiet_measurements = std::min(m_quiet_measurements + 1, steady_smoothing);
        m_quiet += (time - m_quiet) / m_quiet_measurements;
    }
}

duration response_time_estimate::quiet() const
{
    return m_quiet_measurements < min_quiet_measurements ? duration{0} : m_quiet;
}

duration response_time_estimate::expected(time_point now) const
{
    const duration unused = now - m_measured_at - slowness_half_life;
    if (m_recent <= m_long_term || unused <= duration{0}) {
        return m_recent;
    }
    const double weight = halved_per(unused, slowness_half_life);
    const auto increase = static_cast<double>((m_recent - m_long_term).count()) * weight;
    return m_long_term + duration{static_cast<duration::rep>(increase)};
}

duration silence_limit(duration usual)
{
    return std::clamp(usual * silence_multiple, min_silence, max_silence);
}

duration hedge_delay(duration usual, duration statement_timeout)
{
    const duration wanted = std::max(usual * hedge_multiple, min_hedge_delay);
    return std::min(wanted, statement_timeout / hedge_timeout_divisor);
}

void retry_budget::on_success()
{
    m_credit = std::min(m_credit + retry_share, max_credit);
}

bool retry_budget::try_take()
{
    if (m_credit < 1.0) {
        return false;
    }
    m_credit -= 1.0;
    return true;
}

} // namespace gypsumstep::dispatch
