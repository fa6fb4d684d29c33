/// \file
/// Time types of decision code, which receives the time as an argument and never reads a clock.
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

/// A time on the monotonic clock of one VM. Not comparable between VMs.
using time_point = monotonic_clock::time_point;

using namespace std::chrono_literals; // NOLINT: units in constants read better

} // namespace gypsumstep
