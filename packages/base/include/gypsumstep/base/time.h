/// \file
/// Time as decision code sees it: always handed in, never read.
#pragma once

#include <chrono>

namespace gypsumstep {

/// All durations are whole microseconds.
using duration = std::chrono::microseconds;

/// A monotonic clock without now(): decision code receives the time as an argument.
struct monotonic_clock {
    using duration = gypsumstep::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

/// A moment on one VM's monotonic clock. Never compared between VMs.
using time_point = monotonic_clock::time_point;

using namespace std::chrono_literals; // NOLINT: units in constants read better

} // namespace gypsumstep
