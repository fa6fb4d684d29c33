/// \file
/// Answers as people read them.
#pragma once

#include "gypsumstep/ctl/status_view.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace gypsumstep::ctl {

/// Alarms first, then the configuration, groups and peers.
[[nodiscard]] std::string render_status(const status_view& status);

/// Groups with their servers, then the ranks.
[[nodiscard]] std::string render_config(const nlohmann::json& config);

/// A row for each version.
[[nodiscard]] std::string render_history(const nlohmann::json& history);

/// A row for each rank.
[[nodiscard]] std::string render_report(const nlohmann::json& report);

/// A line for each value that differs; empty if none does.
[[nodiscard]] std::string render_difference(const nlohmann::json& from, const nlohmann::json& to);

/// "KEY: VALUE" for each member of a short answer.
[[nodiscard]] std::string render_result(const nlohmann::json& answer);

/// Why a request was refused, with the version in force, what changed since and all
/// findings if the answer has them; empty if it says nothing.
[[nodiscard]] std::string render_error(const nlohmann::json& answer);

} // namespace gypsumstep::ctl
