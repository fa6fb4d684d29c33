/// \file
/// Re-encodes libpq results as protocol messages for a caller.
#pragma once

#include <string>

struct pg_result;

namespace gypsumstep::backend::detail {

/// Messages that stand for one result: rows, completion or an error.
[[nodiscard]] std::string encode_result(const pg_result* query_result, bool with_description);

/// ParameterDescription and RowDescription or NoData of a described statement.
[[nodiscard]] std::string encode_description(const pg_result* query_result);

} // namespace gypsumstep::backend::detail
