/// \file
/// The identity of one run of the daemon.
#pragma once

#include "gypsumstep/base/ids.h"

namespace gypsumstep::daemon {

/// Returns a random id of at most 2^53. JSON readers that store numbers as doubles keep
/// such integers exactly.
[[nodiscard]] daemon_id new_daemon_id();

} // namespace gypsumstep::daemon
