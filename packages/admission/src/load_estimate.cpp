#include "gypsumstep/admission/load_estimate.h"

#include "gypsumstep/admission/load_report.h"

#include <algorithm>
#include <cmath>

namespace gypsumstep::admission {

namespace {

constexpr double gain = 0.05;                   // weight of a new measurement in a moving average
constexpr double long_term_gain = 0.0005;       // weight of a new measurement in the long-term mean
constexpr double deviation_factor = 3;          // few times exceed the mean by more mean deviations
constexpr duration fault_decay_time = 3s;       // time constant of the decay between completions
constexpr duration slot_use_decay_time = 200ms; // time constant of the average slot use
constexpr double min_success = 0.02;            // limits the penalty for faults

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
    : m_mean{microseconds_of(initial)}, m_deviation{microseconds_of(initial) / 2},
      m_long_term_mean{microseconds_of(initial)}
{
}

void service_time_estimate::add(duration measured)
{
    const double difference = microseconds_of(measured) - m_mean;
    m_mean += gain * difference;
    m_deviation += gain * (std::abs(difference) - m_deviation);
    m_long_term_mean += long_term_gain * (microseconds_of(measured) - m_long_term_mean);
}

double service_time_estimate::slowness(duration measured) const
{
    return microseconds_of(measured) / std::max(m_long_term_mean, 1.0);
}

duration service_time_estimate::mean() const
{
    return std::max(duration_of(m_mean), duration{1});
}

duration service_time_estimate::upper_estimate() const
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
    return m_share * decay(now - m_updated, fault_decay_time);
}

void slot_use_estimate::advance(const counts& running, time_point now)
{
    const double old_weight = decay(now - m_updated, slot_use_decay_time);
    m_updated = std::max(m_updated, now);
    for (std::size_t i = 0; i < rank_count; ++i) {
        m_use[i] = old_weight * m_use[i] + (1 - old_weight) * running[i];
    }
}

duration expected_response(const load_report& report, rank level)
{
    const rank_load& load = report.ranks[index_of(level)];
    const double success = std::max(1 - report.error_share, min_success);
    // Divided by the square: a retry costs a second wait and also uses up the retry budget.
    return duration_of(microseconds_of(load.estimated_wait + load.service_time) /
                       (success * success));
}

} // namespace gypsumstep::admission
