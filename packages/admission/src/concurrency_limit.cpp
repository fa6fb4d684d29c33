#include "gypsumstep/admission/concurrency_limit.h"

#include <algorithm>
#include <utility>

namespace gypsumstep::admission {

namespace {

constexpr double recent_gain = 0.02;
constexpr double usual_gain = 0.0005;
constexpr double slowdown_factor = 1.5; // recent over usual that starts a trial
constexpr std::uint32_t window_completions = 200;
constexpr duration trial_interval = 10s;
constexpr duration relax_interval = 1s;
constexpr double faulty_share = 0.5; // above it only one request probes the server

// Throughput that a trial is judged by: halfway between that of a server whose
// throughput does not depend on the limit, and one where it is proportional to it.
double expected_ratio(std::uint32_t tried, std::uint32_t before)
{
    return (1.0 + static_cast<double>(tried) / before) / 2;
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
    // A plain mean at first: one early value must not weigh for long.
    m_measured += 1;
    const double plain_gain = 1.0 / static_cast<double>(m_measured);
    m_recent += std::max(recent_gain, plain_gain) * (slowness - m_recent);
    m_usual += std::max(usual_gain, plain_gain) * (slowness - m_usual);
    if (!m_window.started || !saturated) {
        if (!saturated) {
            relax(now);
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

void concurrency_limit::relax(time_point now)
{
    if (m_limit_before) {
        // A trial without enough work shows nothing; do not keep its limit.
        m_limit = *std::exchange(m_limit_before, std::nullopt);
    }
    if (m_limit < m_slots && now >= m_next_relax) {
        // Without a backlog no trial would ever raise the limit again.
        m_limit += 1;
        m_next_relax = now + relax_interval;
    }
}

std::uint32_t concurrency_limit::limit(double fault_share) const
{
    return fault_share > faulty_share ? std::min(m_limit, 1U) : m_limit;
}

void concurrency_limit::finish_window(double throughput, time_point now)
{
    if (m_limit_before) {
        judge_trial(throughput, now);
        return;
    }
    if (now < m_next_trial) {
        return;
    }
    if (m_recent > slowdown_factor * m_usual && m_limit > 1) {
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

void concurrency_limit::judge_trial(double throughput, time_point now)
{
    const std::uint32_t before = *m_limit_before;
    m_limit_before.reset();
    const bool gained = throughput > expected_ratio(m_limit, before) * m_throughput_before;
    const bool lowered = m_limit < before;
    // Fewer slots stay if throughput held; more slots stay if it rose.
    if (gained) {
        m_next_trial = now;
        return;
    }
    m_limit = before;
    m_next_trial = now + trial_interval;
    if (lowered) {
        m_usual = m_recent; // slow by itself: this is its usual time from now on
    }
}

} // namespace gypsumstep::admission
