/// \file
/// The daemon's monotonic clock.
#pragma once

#include "gypsumstep/base/time.h"

namespace gypsumstep::daemon {

/// Returns the current time of this VM's monotonic clock.
[[nodiscard]] inline time_point steady_now()
{
    const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
    return time_point{std::chrono::duration_cast<duration>(since_start)};
}

} // namespace gypsumstep::daemon
