/// \file
/// Moving estimates of one server's service time, use and faults.
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

    /// Takes a measured service time into account.
    void add(duration measured);

    /// A service time as a multiple of the long-term mean.
    [[nodiscard]] double slowness(duration measured) const;

    /// The mean.
    [[nodiscard]] duration mean() const;

    /// A time that few requests exceed.
    [[nodiscard]] duration safe() const;

private:
    double m_mean;      // microseconds
    double m_deviation; // microseconds
    double m_usual;     // long-term mean, microseconds
};

/// Share of server faults among recent completions. Decays with time, so that a
/// server that nobody uses any more is tried again.
class fault_estimate {
public:
    /// Counts one completion.
    void add(bool ok, time_point now);

    /// The share in [0, 1].
    [[nodiscard]] double share(time_point now) const;

private:
    double m_share{0.0};
    time_point m_updated{};
};

/// Time-averaged number of running requests of each rank.
class slot_use_estimate {
public:
    using counts = std::array<std::uint32_t, rank_count>;

    /// Accounts for the time since the last call, in which \p running was constant.
    void advance(const counts& running, time_point now);

    /// The average of one rank, in slots.
    [[nodiscard]] double use(rank level) const { return m_use[index_of(level)]; }

private:
    std::array<double, rank_count> m_use{};
    time_point m_updated{};
};

} // namespace gypsumstep::admission
