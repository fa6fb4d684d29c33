/// \file
/// A histogram of latencies with logarithmic bins.
#pragma once

#include "gypsumstep/base/time.h"

#include <boost/histogram.hpp>

#include <algorithm>

namespace gypsumstep::load {

/// Counts latencies from 1 µs to 100 s in bins about 1 % wide.
class latency_histogram {
public:
    /// Counts one latency.
    void add(duration latency)
    {
        m_bins(static_cast<double>(std::max(latency, duration{1}).count()));
        m_highest = std::max(m_highest, latency);
        m_count += 1;
    }

    /// Upper edge of the bin that holds the given share of all latencies; 0 if empty.
    [[nodiscard]] duration quantile(double share) const
    {
        const double required_count = share * static_cast<double>(m_count);
        double counted = 0;
        for (const auto& bin : boost::histogram::indexed(m_bins)) {
            counted += *bin;
            if (counted >= required_count && counted > 0) {
                return duration{static_cast<duration::rep>(bin.bin().upper())};
            }
        }
        return m_highest;
    }

    /// The highest latency.
    [[nodiscard]] duration highest() const { return m_highest; }

    /// Number of latencies.
    [[nodiscard]] std::uint64_t count() const { return m_count; }

private:
    static constexpr unsigned bin_count = 1'850;
    static constexpr double lowest_microseconds = 1.0;
    static constexpr double highest_microseconds = 1e8;

    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

    decltype(boost::histogram::make_histogram(axis{})) m_bins{boost::histogram::make_histogram(
        axis{bin_count, lowest_microseconds, highest_microseconds})};
    duration m_highest{0};
    std::uint64_t m_count{0};
};

} // namespace gypsumstep::load
