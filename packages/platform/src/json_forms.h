/// \file
/// The platform's JSON bodies as typed values. A body of another shape is an error.
#pragma once

#include "gypsumstep/base/error.h"
#include "gypsumstep/platform/types.h"

#include <string>
#include <vector>

namespace gypsumstep::platform::detail {

/// {"key", "version", "value"}.
[[nodiscard]] result<table_row> parse_row(const std::string& body);

/// [{"address", "state"}].
[[nodiscard]] result<std::vector<vm_entry>> parse_vms(const std::string& body);

/// {"expected_version", "value"}.
[[nodiscard]] std::string write_body(const table_write& write);

/// {"operations": [{"key", "expected_version", "value"}]}.
[[nodiscard]] std::string write_body(const std::vector<table_write>& writes);

} // namespace gypsumstep::platform::detail
