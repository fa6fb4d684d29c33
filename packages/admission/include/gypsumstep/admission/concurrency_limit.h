/// \file
/// How many requests run on a server at a time, following its measured throughput.
#pragma once

#include "gypsumstep/base/time.h"

#include <cstdint>
#include <optional>

namespace gypsumstep::admission {

/// Finds the lowest number of slots that gives the server's full throughput.
///
/// A server that is slow because it is overloaded works as fast with fewer requests at
/// a time, and each of them is faster. One that is merely slow loses throughput
/// with each slot taken away. To tell them apart, one slot is tried fewer when
/// service times rise over their long-term mean; it is given back when throughput
/// fell with it.
class concurrency_limit {
public:
    explicit concurrency_limit(std::uint32_t slots);

    /// Sets the most that may run; the limit moves within it.
    void set_slots(std::uint32_t slots);

    /// Counts a request that succeeded.
    /// \param slowness its service time as a multiple of what its rank usually takes, so
    ///     that a change in the mix of ranks is not taken for a slow server
    /// \param saturated whether others were waiting, so that all slots were in use
    void completed(double slowness, bool saturated, time_point now);

    /// The number of requests that may run now, in [1, slots]; 0 only without slots.
    /// \param fault_share recent share of server faults, in [0, 1]
    [[nodiscard]] std::uint32_t limit(double fault_share) const;

private:
    /// Completions measured at one limit.
    struct window {
        std::optional<time_point> started;
        std::uint32_t completions{0};
    };

    void relax(time_point now);
    void finish_window(double throughput, time_point now);
    void start_trial(std::uint32_t limit, double throughput);
    void judge_trial(double throughput, time_point now);

    std::uint32_t m_slots;
    std::uint32_t m_limit;
    std::optional<std::uint32_t> m_limit_before; // set while a trial runs
    double m_throughput_before{0.0};             // completions per second
    double m_recent{0.0};                        // mean slowness
    double m_usual{0.0};                         // long-term mean slowness
    std::uint64_t m_measured{0};                 // completions in both means
    time_point m_next_trial{};
    time_point m_next_relax{};
    window m_window;
};

} // namespace gypsumstep::admission
