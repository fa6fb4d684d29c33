/// \file
/// Counters, gauges and latency summaries. All may be used from any thread.
#pragma once

#include "gypsumstep/base/time.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

namespace gypsumstep::metrics {

/// A monotonically increasing number.
class counter {
public:
    void add(std::uint64_t amount = 1) { m_value.fetch_add(amount, std::memory_order_relaxed); }

    [[nodiscard]] std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value{0};
};

/// A number that goes up and down.
class gauge {
public:
    void set(double value) { m_value.store(value, std::memory_order_relaxed); }
    void add(double amount) { m_value.fetch_add(amount, std::memory_order_relaxed); }

    [[nodiscard]] double value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<double> m_value{0.0};
};

/// The quantiles that a summary reports.
inline constexpr std::array<double, 4> summary_quantiles{0.5, 0.9, 0.99, 0.999};

/// Quantiles cover the last complete window only, so that old observations do not hide a
/// recent change of latency.
inline constexpr duration default_summary_window = 10s;

/// The observations of a summary. Count and sum cover all of them since its creation.
struct summary_values {
    std::uint64_t count{0};
    duration sum{};
    /// Empty until a window with observations has passed.
    std::optional<std::array<duration, summary_quantiles.size()>> quantiles;
    std::uint64_t window_count{0}; ///< number of observations in the window of the quantiles
    duration window_max{};         ///< longest observation in the window of the quantiles
};

/// Observes durations and estimates their quantiles by Boost.Accumulators.
///
/// Quantiles are exact up to 64 observations in a window; above that they are estimated by
/// the P-square algorithm.
class summary {
public:
    explicit summary(duration window = default_summary_window);
    ~summary();
    summary(const summary&) = delete;
    summary& operator=(const summary&) = delete;

    /// Adds one observation made at \p now; times must not go back by more than a window.
    void observe(duration value, time_point now);

    /// Count and sum until \p now, and the quantiles of the last complete window.
    [[nodiscard]] summary_values values(time_point now) const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// Upper bounds of a histogram's buckets; statements take from a millisecond to their
/// time limit of some seconds.
inline constexpr std::array<duration, 13> histogram_bounds{
    1ms, 2ms, 5ms, 10ms, 25ms, 50ms, 100ms, 250ms, 500ms, 1s, 2500ms, 5s, 10s};

/// Counts durations in buckets. Unlike a summary's quantiles, the counts of several
/// daemons can be added.
class histogram {
public:
    void observe(duration value);

    /// Number of observations up to each bound; the last element counts all of them.
    [[nodiscard]] std::array<std::uint64_t, histogram_bounds.size() + 1> cumulative() const;

    [[nodiscard]] duration sum() const { return duration{m_sum.load(std::memory_order_relaxed)}; }

private:
    std::array<std::atomic<std::uint64_t>, histogram_bounds.size() + 1> m_buckets{};
    std::atomic<duration::rep> m_sum{0};
};

} // namespace gypsumstep::metrics
