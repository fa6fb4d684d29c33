#include "gypsumstep/admission/load_estimate.h"

#include "gypsumstep/admission/load_report.h"

#include <algorithm>
#include <cmath>

namespace gypsumstep::admission {

namespace {

constexpr double gain = 0.05;           // weight of one new measurement
constexpr double usual_gain = 0.0005;   // the same for the long-term mean
constexpr double deviation_factor = 3;  // few service times lie further above the mean
constexpr duration fault_memory = 3s;   // time constant without completions
constexpr duration use_memory = 200ms;  // time constant of the slot use
constexpr double lowest_success = 0.02; // bounds the penalty for faults

double microseconds_of(duration value)
{
    return static_cast<double>(value.count());
}

duration duration_of(double microseconds)
{
    return duration{static_cast<duration::rep>(microseconds)};
}

double decay(duration elapsed, duration time_constant)
{
    return std::exp(-microseconds_of(std::max(elapsed, duration{0})) /
                    microseconds_of(time_constant));
}

} // namespace

service_time_estimate::service_time_estimate(duration initial)
    : m_mean{microseconds_of(initial)},
      m_deviation{microseconds_of(initial) / 2}, m_usual{microseconds_of(initial)}
{
}

void service_time_estimate::add(duration measured)
{
    const double difference = microseconds_of(measured) - m_mean;
    m_mean += gain * difference;
    m_deviation += gain * (std::abs(difference) - m_deviation);
    m_usual += usual_gain * (microseconds_of(measured) - m_usual);
}

double service_time_estimate::slowness(duration measured) const
{
    return microseconds_of(measured) / std::max(m_usual, 1.0);
}

duration service_time_estimate::mean() const
{
    return std::max(duration_of(m_mean), duration{1});
}

duration service_time_estimate::safe() const
{
    return duration_of(m_mean + deviation_factor * m_deviation);
}

void fault_estimate::add(bool ok, time_point now)
{
    const double before = share(now);
    m_share = before + gain * ((ok ? 0.0 : 1.0) - before);
    m_updated = now;
}

double fault_estimate::share(time_point now) const
{
    return m_share * decay(now - m_updated, fault_memory);
}

void slot_use_estimate::advance(const counts& running, time_point now)
{
    const double kept = decay(now - m_updated, use_memory);
    m_updated = std::max(m_updated, now);
    for (std::size_t i = 0; i < rank_count; ++i) {
        m_use[i] = kept * m_use[i] + (1 - kept) * running[i];
    }
}

duration expected_response(const load_report& value, rank level)
{
    const rank_load& own = value.ranks[index_of(level)];
    const double success = std::max(1 - value.error_share, lowest_success);
    // Squared: a retry costs a second wait and spends the retry budget.
    return duration_of(microseconds_of(own.estimated_wait + own.service_time) /
                       (success * success));
}

} // namespace gypsumstep::admission
