/// \file
/// A clock that also counts while the VM is suspended.
#pragma once

#include "gypsumstep/base/time.h"

namespace gypsumstep::edge {

/// Returns the time since boot, including time in suspension. std::chrono::steady_clock
/// stops during a suspension, so that data read before it would look fresh after it.
[[nodiscard]] time_point boot_now();

} // namespace gypsumstep::edge
