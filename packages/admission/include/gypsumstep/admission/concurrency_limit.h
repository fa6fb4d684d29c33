/// \file
/// An adaptive concurrency limit for one server, based on its measured throughput.
#pragma once

#include "gypsumstep/base/time.h"

#include <cstdint>
#include <optional>

namespace gypsumstep::admission {

/// Finds the lowest number of concurrent requests that gives the server's full throughput.
///
/// An overloaded server has the same throughput with fewer concurrent requests, and each of them
/// is faster. A server that is slow for another reason loses throughput with each slot taken away.
/// To tell these cases apart, a trial lowers the limit by one slot when service times rise above
/// their long-term mean; the limit is restored if throughput falls with it.
class concurrency_limit {
public:
    explicit concurrency_limit(std::uint32_t slots);

    /// Sets the upper bound of the limit. A changed bound resets the limit to it.
    void set_slots(std::uint32_t slots);

    /// Reports a request that succeeded.
    /// \param slowness its service time as a multiple of its rank's long-term mean, so that a
    ///     change in the mix of ranks is not taken for a slow server
    /// \param saturated whether other requests were waiting, so that all slots were in use
    void completed(double slowness, bool saturated, time_point now);

    /// The number of requests that may run now, in [1, slots]; 0 if there are no slots.
    /// \param fault_share recent share of server faults, in [0, 1]; a high share lowers the limit
    ///     to 1
    [[nodiscard]] std::uint32_t limit(double fault_share) const;

private:
    /// Completions counted under one limit, to measure throughput.
    struct window {
        std::optional<time_point> started;
        std::uint32_t completions{0};
    };

    void raise_when_unsaturated(time_point now);
    void finish_window(double throughput, time_point now);
    void start_trial(std::uint32_t limit, double throughput);
    void finish_trial(double throughput, time_point now);

    std::uint32_t m_slots;
    std::uint32_t m_limit;
    std::optional<std::uint32_t> m_limit_before; // set while a trial runs
    double m_throughput_before{0.0};             // completions per second before the trial
    double m_recent_slowness{0.0};               // short-term mean
    double m_usual_slowness{0.0};                // long-term mean
    std::uint64_t m_measured{0};                 // completions in both means
    time_point m_next_trial{};
    time_point m_next_raise{};
    window m_window;
};

} // namespace gypsumstep::admission
