#include "gypsumstep/metrics/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <cmath>
#include <mutex>
#include <vector>

namespace gypsumstep::metrics {

namespace {

namespace acc = boost::accumulators;

/// Observations of a window up to which its quantiles are exact.
constexpr std::size_t exact_limit = 64;

using window_accumulator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::max, acc::tag::extended_p_square>>;
using total_accumulator =
    acc::accumulator_set<std::int64_t, acc::stats<acc::tag::count, acc::tag::sum>>;

/// The observations of one window.
class window_statistics {
public:
    window_statistics() : m_accumulator{acc::extended_p_square_probabilities = summary_quantiles}
    {
        m_first_observations.reserve(exact_limit);
    }

    void add(double microseconds)
    {
        m_accumulator(microseconds);
        if (m_first_observations.size() < exact_limit) {
            m_first_observations.push_back(microseconds);
        }
    }

    [[nodiscard]] std::uint64_t count() const { return acc::count(m_accumulator); }

    [[nodiscard]] duration max() const { return to_duration(acc::max(m_accumulator)); }

    [[nodiscard]] std::array<duration, summary_quantiles.size()> quantiles() const
    {
        std::array<duration, summary_quantiles.size()> result{};
        std::vector<double> sorted = m_first_observations;
        std::ranges::sort(sorted);
        const auto estimates = acc::extended_p_square(m_accumulator);
        for (std::size_t i = 0; i < result.size(); ++i) {
            const bool is_exact = count() <= exact_limit;
            const double value = is_exact ? nearest_rank(sorted, summary_quantiles.at(i))
                                          : estimates[static_cast<std::ptrdiff_t>(i)];
            result.at(i) = to_duration(value);
        }
        return result;
    }

private:
    static double nearest_rank(const std::vector<double>& sorted, double quantile)
    {
        const auto rank = std::ceil(quantile * static_cast<double>(sorted.size()));
        const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
        return sorted.at(std::min(index, sorted.size() - 1));
    }

    static duration to_duration(double microseconds)
    {
        return duration{static_cast<duration::rep>(std::llround(microseconds))};
    }

    window_accumulator m_accumulator;
    std::vector<double> m_first_observations;
};

} // namespace

struct summary::implementation {
    explicit implementation(duration length) : window_length{length} {}

    /// Closes the current window if it is over at \p now.
    void roll(time_point now)
    {
        if (now - window_start < window_length) {
            return;
        }
        const bool is_adjacent = now - window_start < 2 * window_length;
        last = is_adjacent ? std::move(current) : window_statistics{};
        current = window_statistics{};
        window_start = now - (now - window_start) % window_length;
    }

    std::mutex mutex;
    duration window_length;
    time_point window_start;
    window_statistics current;
    window_statistics last;
    total_accumulator total;
};

summary::summary(duration window) : m_implementation{std::make_unique<implementation>(window)} {}

summary::~summary() = default;

void summary::observe(duration value, time_point now)
{
    const std::scoped_lock lock{m_implementation->mutex};
    m_implementation->roll(now);
    m_implementation->total(value.count());
    m_implementation->current.add(static_cast<double>(value.count()));
}

summary_values summary::values(time_point now) const
{
    const std::scoped_lock lock{m_implementation->mutex};
    m_implementation->roll(now);
    summary_values result;
    result.count = acc::count(m_implementation->total);
    result.sum = duration{acc::sum(m_implementation->total)};
    const window_statistics& last = m_implementation->last;
    result.window_count = last.count();
    if (last.count() > 0) {
        result.quantiles = last.quantiles();
        result.window_max = last.max();
    }
    return result;
}

} // namespace gypsumstep::metrics
