/// \file
/// A clock that also counts while the VM is suspended.
#pragma once

#include "gypsumstep/base/time.h"

namespace gypsumstep::edge {

/// The time now. A steady clock would stand still during a suspension, and data read
/// before it would look fresh.
[[nodiscard]] time_point boot_now();

} // namespace gypsumstep::edge
