/// \file
/// Reads configurations from JSON and writes them as JSON.
#pragma once

#include "gypsumstep/document/checked.h"
#include "gypsumstep/fleet/document.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace gypsumstep::fleet {

/// Parses JSON with comments and checks the whole document.
///
/// Ids follow the order of the names: domains, groups and servers are each sorted by
/// name, so that every daemon assigns the same ids to the same document.
/// \p file_name only appears in findings.
///
/// Errors: wrong types and ranges, unknown keys, unknown domains, names or endpoints used
/// twice, slots above connections, slot floors whose sum is 1 or more, a group without servers.
/// Warnings: a group of fewer than three or of an even number of servers, and one whose
/// servers are all in one of several failure domains.
[[nodiscard]] gypsumstep::document::checked<document> parse(std::string_view text,
                                                            const std::string& file_name);

/// Parses a JSON value; source places refer to the text that dump(2) writes.
[[nodiscard]] gypsumstep::document::checked<document> parse_json(const nlohmann::json& value,
                                                                 const std::string& file_name);

/// Converts \p value to the JSON that parse_json() reads.
[[nodiscard]] nlohmann::json to_json(const document& value);

} // namespace gypsumstep::fleet
