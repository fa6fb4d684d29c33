/// \file
/// Entry point of the daemon on the users' platform.
#pragma once

#include <string>

namespace gypsumstep::edge {

/// Runs the daemon until it is stopped, and returns the process's exit code.
///
/// \param settings_file file that the platform placed on this VM
/// \param check_only report problems in the settings and return without starting the daemon
[[nodiscard]] int run_edge(int argc, char** argv, const std::string& settings_file,
                           bool check_only);

} // namespace gypsumstep::edge
