/// \file
/// Re-encodes libpq results as protocol messages for a client.
#pragma once

#include <string>

struct pg_result;

namespace gypsumstep::backend::detail {

/// Encodes one result: its rows and CommandComplete, or an ErrorResponse.
/// \param with_description whether RowDescription precedes the rows
[[nodiscard]] std::string encode_result(const pg_result* query_result, bool with_description);

/// Encodes a described statement: ParameterDescription, then RowDescription or NoData.
[[nodiscard]] std::string encode_description(const pg_result* query_result);

} // namespace gypsumstep::backend::detail
