/// \file
/// The flags of gypsumstepctl.
#pragma once

#include "gypsumstep/base/error.h"

#include <string>
#include <vector>

namespace gypsumstep::ctl {

/// Sets Abseil's flags from "--name=value", "--name value" and "--name" for booleans, with
/// '-' or '_' inside names, and returns the other words. "--" ends the flags.
///
/// absl::ParseCommandLine() is not used, since it ends the program with exit code 1, which
/// means "refused" here.
[[nodiscard]] result<std::vector<std::string>> parse_flags(const std::vector<std::string>& words);

} // namespace gypsumstep::ctl
