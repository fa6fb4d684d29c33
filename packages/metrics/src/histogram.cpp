#include "gypsumstep/metrics/metrics.h"

#include <algorithm>

namespace gypsumstep::metrics {

void histogram::observe(duration value)
{
    const auto* const bound =
        std::lower_bound(histogram_bounds.begin(), histogram_bounds.end(), value);
    const auto bucket = static_cast<std::size_t>(bound - histogram_bounds.begin());
    m_buckets.at(bucket).fetch_add(1, std::memory_order_relaxed);
    m_sum.fetch_add(value.count(), std::memory_order_relaxed);
}

std::array<std::uint64_t, histogram_bounds.size() + 1> histogram::cumulative() const
{
    std::array<std::uint64_t, histogram_bounds.size() + 1> counts{};
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        total += m_buckets.at(i).load(std::memory_order_relaxed);
        counts.at(i) = total;
    }
    return counts;
}

} // namespace gypsumstep::metrics
