#include "gypsumstep/dispatch/locality.h"

#include <algorithm>

namespace gypsumstep::dispatch {
namespace {

/// Leaving begins if a read is expected to take more than this share of its target latency at home,
/// since an operation may have several statements. While it lasts, reads above the smaller share
/// leave.
constexpr double begin_share = 0.25;
constexpr double keep_share = 0.15;

/// A read leaves only if it is expected to be this much faster in the other region, since traffic
/// between regions is billed. The same as the penalty of a remote server in choose_for_read().
constexpr duration price = 30ms;

/// Expected time to open a new connection, as in choose_for_read().
constexpr duration connection_time = 20ms;

/// Response times of another region's server are not relied on after this time: a burst there
/// lasts some seconds.
constexpr duration max_knowledge_age = 5s;

/// Time between two reads that measure a server about which nothing recent is known. One that is
/// not known at all gets one read at a time, to be known within a burst.
constexpr duration measuring_interval = 250ms;

/// Leaving ends if no read needed it for this time, and quiet times begin. Longer than the gaps
/// between small bursts, so that the log does not fill.
constexpr duration end_delay = 2s;

/// The window grows by this for each full window of answers while the other server's response time
/// is below the first multiple of its quiet time, and shrinks by the factor above the second one.
/// Homes at their limits cause 1.5 times the quiet time, in spite of the round trip between
/// regions; the reads that leave for a nearly idle server cause 1.1 times. The growth is slow
/// enough for the steady mean, which spans 32 answers, to follow.
constexpr double growth = 0.25;
constexpr double grow_below = 1.2;
constexpr double shrink_above = 1.3;
constexpr double shrink_factor = 0.6;
constexpr double min_window = 1.0;
constexpr double max_window = 32.0;

/// The window shrinks at most once in this time: about a round trip between regions and an answer,
/// after which the effect of the last change is measured.
constexpr duration shrink_interval = 200ms;

duration share_of(duration whole, double share)
{
    return std::chrono::duration_cast<duration>(whole * share);
}

bool is_slow(const far_server& other, double multiple)
{
    return other.steady_time > share_of(other.quiet_time, multiple);
}

} // namespace

std::optional<own_load> own_load_of(std::span<const candidate> candidates, duration waited,
                                    std::size_t ahead)
{
    own_load own;
    own.waited = waited;
    own.ahead = ahead;
    std::int64_t servers = 0;
    for (const candidate& server : candidates) {
        if (server.is_primary || server.distance == proximity::remote ||
            server.expects_lag_refusal) {
            continue;
        }
        ++servers;
        own.response_time += server.mean_response_time;
        own.limit += server.limit;
        own.has_room = own.has_room || server.in_flight < server.limit;
    }
    if (servers == 0 || own.limit == 0) {
        return std::nullopt;
    }
    own.response_time /= servers;
    return own;
}

duration expected_at_home(const own_load& own)
{
    const duration queueing =
        own.has_room ? duration{0}
                     : own.response_time * static_cast<duration::rep>(own.ahead + 1) / own.limit;
    return own.waited + queueing + own.response_time;
}

bool locality_policy::may_leave(const own_load& own, const far_server& other, duration target,
                                time_point now)
{
    const duration at_home = expected_at_home(own);
    if (at_home > share_of(target, keep_share)) {
        m_pressed_until = now + end_delay;
    }
    const bool was_measured = other.quiet_time > duration{0};
    const bool may_measure =
        other.in_flight == 0 && (!was_measured || now - m_last_sent >= measuring_interval);
    if (!was_measured || now - other.measured_at > max_knowledge_age) {
        return may_measure;
    }
    if (at_home <= share_of(target, m_leaving ? keep_share : begin_share)) {
        return false;
    }
    const duration hop =
        own.waited + other.response_time + (other.needs_connection ? connection_time : duration{0});
    if (hop + price >= at_home) {
        return false;
    }
    m_leaving = true;
    m_last_needed = now;
    return other.in_flight < static_cast<std::uint32_t>(m_window);
}

void locality_policy::on_answer_from_away(const far_server& other, time_point now)
{
    if (other.quiet_time == duration{0}) {
        return;
    }
    if (is_slow(other, shrink_above)) {
        if (now - m_last_shrunk >= shrink_interval) {
            m_window = std::max(m_window * shrink_factor, min_window);
            m_last_shrunk = now;
        }
    }
    else if (!is_slow(other, grow_below)) {
        m_window = std::min(m_window + growth / m_window, max_window);
    }
}

void locality_policy::update(time_point now)
{
    if (m_leaving && now - m_last_needed >= end_delay) {
        m_leaving = false;
        m_window = min_window;
    }
}

} // namespace gypsumstep::dispatch
