/// \file
/// Moving estimates of the service time, slot use and fault share of one server.
#pragma once

#include "gypsumstep/base/rank.h"
#include "gypsumstep/base/time.h"

#include <array>
#include <cstdint>

namespace gypsumstep::admission {

/// Exponentially weighted mean and mean deviation of a rank's service time.
class service_time_estimate {
public:
    explicit service_time_estimate(duration initial);

    /// Adds a measured service time.
    void add(duration measured);

    /// Returns \p measured as a multiple of the long-term mean.
    [[nodiscard]] double slowness(duration measured) const;

    /// The short-term mean.
    [[nodiscard]] duration mean() const;

    /// An upper estimate: a service time that few requests exceed.
    [[nodiscard]] duration upper_estimate() const;

private:
    double m_mean;           // microseconds
    double m_deviation;      // microseconds
    double m_long_term_mean; // microseconds
};

/// Share of server faults among recent completions. Decays with time, so that a server that
/// gets no requests because of its faults is tried again.
class fault_estimate {
public:
    /// Adds one completion; \p ok is false after a server fault.
    void add(bool ok, time_point now);

    /// The share of faults in [0, 1].
    [[nodiscard]] double share(time_point now) const;

private:
    double m_share{0.0};
    time_point m_updated{};
};

/// Time-averaged number of slots that each rank uses.
class slot_use_estimate {
public:
    using counts = std::array<std::uint32_t, rank_count>;

    /// Advances the average to \p now; \p running was constant since the last call.
    void advance(const counts& running, time_point now);

    /// The average number of slots used by a rank.
    [[nodiscard]] double use(rank level) const { return m_use[index_of(level)]; }

private:
    std::array<double, rank_count> m_use{};
    time_point m_updated{};
};

} // namespace gypsumstep::admission
