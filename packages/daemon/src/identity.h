/// \file
/// The identity of one run of the daemon.
#pragma once

#include "gypsumstep/base/ids.h"

namespace gypsumstep::daemon {

/// A random id below 2^53, so that it survives JSON numbers of every reader.
[[nodiscard]] daemon_id new_daemon_id();

} // namespace gypsumstep::daemon
