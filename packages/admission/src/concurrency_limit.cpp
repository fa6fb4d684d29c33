#include "gypsumstep/admission/concurrency_limit.h"

#include <algorithm>
#include <utility>

namespace gypsumstep::admission {

namespace {

constexpr double recent_gain = 0.02;    // weight of a new value in the short-term mean
constexpr double usual_gain = 0.0005;   // weight of a new value in the long-term mean
constexpr double slowdown_factor = 1.5; // ratio of the two means above which a trial starts
constexpr std::uint32_t window_completions = 200;
constexpr duration trial_interval = 10s; // pause after a trial without gain
constexpr duration raise_interval = 1s;
constexpr double max_fault_share = 0.5; // above it, only one request at a time probes the server

// Throughput ratio above which a trial counts as a gain: halfway between a server whose throughput
// does not depend on the limit, and one whose throughput is proportional to it.
double required_throughput_ratio(std::uint32_t tried_limit, std::uint32_t limit_before)
{
    return (1.0 + static_cast<double>(tried_limit) / limit_before) / 2;
}

} // namespace

concurrency_limit::concurrency_limit(std::uint32_t slots) : m_slots{slots}, m_limit{slots} {}

void concurrency_limit::set_slots(std::uint32_t slots)
{
    if (slots == m_slots) {
        return;
    }
    m_slots = slots;
    m_limit = slots;
    m_limit_before.reset();
    m_window = window{};
}

void concurrency_limit::completed(double slowness, bool saturated, time_point now)
{
    // An arithmetic mean of the first values: otherwise a single early value would keep a high
    // weight for a long time.
    m_measured += 1;
    const double arithmetic_gain = 1.0 / static_cast<double>(m_measured);
    m_recent_slowness += std::max(recent_gain, arithmetic_gain) * (slowness - m_recent_slowness);
    m_usual_slowness += std::max(usual_gain, arithmetic_gain) * (slowness - m_usual_slowness);
    if (!m_window.started || !saturated) {
        if (!saturated) {
            raise_when_unsaturated(now);
        }
        m_window = window{now, 0};
        return;
    }
    m_window.completions += 1;
    if (m_window.completions < window_completions || now <= *m_window.started) {
        return;
    }
    const std::chrono::duration<double> elapsed = now - *m_window.started;
    finish_window(m_window.completions / elapsed.count(), now);
    m_window = window{now, 0};
}

void concurrency_limit::raise_when_unsaturated(time_point now)
{
    if (m_limit_before) {
        // Throughput without saturation says nothing about the limit: cancel the trial.
        m_limit = *std::exchange(m_limit_before, std::nullopt);
    }
    if (m_limit < m_slots && now >= m_next_raise) {
        // Trials need a backlog, so without one no trial would ever raise the limit again.
        m_limit += 1;
        m_next_raise = now + raise_interval;
    }
}

std::uint32_t concurrency_limit::limit(double fault_share) const
{
    return fault_share > max_fault_share ? std::min(m_limit, 1U) : m_limit;
}

void concurrency_limit::finish_window(double throughput, time_point now)
{
    if (m_limit_before) {
        finish_trial(throughput, now);
        return;
    }
    if (now < m_next_trial) {
        return;
    }
    if (m_recent_slowness > slowdown_factor * m_usual_slowness && m_limit > 1) {
        start_trial(m_limit - 1, throughput);
    }
    else if (m_limit < m_slots) {
        start_trial(m_limit + 1, throughput);
    }
}

void concurrency_limit::start_trial(std::uint32_t limit, double throughput)
{
    m_limit_before = m_limit;
    m_throughput_before = throughput;
    m_limit = limit;
}

void concurrency_limit::finish_trial(double throughput, time_point now)
{
    const std::uint32_t before = *m_limit_before;
    m_limit_before.reset();
    const bool gained =
        throughput > required_throughput_ratio(m_limit, before) * m_throughput_before;
    const bool lowered = m_limit < before;
    // A lower limit is kept if throughput held; a higher limit is kept if throughput rose.
    if (gained) {
        m_next_trial = now;
        return;
    }
    m_limit = before;
    m_next_trial = now + trial_interval;
    if (lowered) {
        // Not overloaded: the recent service time counts as the usual one from now on.
        m_usual_slowness = m_recent_slowness;
    }
}

} // namespace gypsumstep::admission
