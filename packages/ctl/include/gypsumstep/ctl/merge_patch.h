/// \file
/// JSON merge patches (RFC 7396).
#pragma once

#include <nlohmann/json.hpp>

namespace gypsumstep::ctl {

/// The merge patch that turns \p from into \p to. Neither may contain nulls, which a
/// merge patch cannot express.
[[nodiscard]] nlohmann::json merge_difference(const nlohmann::json& from, const nlohmann::json& to);

} // namespace gypsumstep::ctl
