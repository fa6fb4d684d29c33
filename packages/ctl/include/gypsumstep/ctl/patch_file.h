/// \file
/// Reads the file of `config patch`.
#pragma once

#include "gypsumstep/base/error.h"

#include <nlohmann/json.hpp>

#include <string>

namespace gypsumstep::ctl {

/// Reads a JSON object with comments; "-" is standard input. The error's message has all
/// findings, one a line.
[[nodiscard]] result<nlohmann::json> read_patch_file(const std::string& path);

} // namespace gypsumstep::ctl
