/// \file
/// CPU time of another process.
#pragma once

#include "gypsumstep/base/time.h"

#include <optional>
#include <string>

namespace gypsumstep::load {

/// User and system time from the content of /proc/PID/stat; nothing if malformed.
[[nodiscard]] std::optional<duration> parse_process_time(const std::string& stat,
                                                         long ticks_per_second);

/// User and system time of a process; nothing if it does not run.
[[nodiscard]] std::optional<duration> process_time(int pid);

} // namespace gypsumstep::load
