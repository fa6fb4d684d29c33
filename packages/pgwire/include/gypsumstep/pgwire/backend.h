/// \file
/// Messages that servers send, PostgreSQL protocol 3.0.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumstep::pgwire {

/// Whether a session is inside a transaction, as ReadyForQuery reports it.
enum class transaction_state : char {
    idle = 'I',
    active = 'T',
    failed = 'E',
};

/// Fields of an ErrorResponse.
struct error_fields {
    std::string severity{"ERROR"};
    std::string sqlstate{"XX000"};
    std::string message;
    std::string detail;
    std::string hint;

    friend bool operator==(const error_fields&, const error_fields&) = default;
};

/// One column of a RowDescription.
struct column {
    std::string name;
    std::int32_t type{text_type};
    std::int16_t format{0};    ///< 0 text, 1 binary
    std::int16_t size{-1};     ///< bytes of the type; negative if it varies
    std::int32_t modifier{-1}; ///< type modifier; -1 for none

    static constexpr std::int32_t text_type = 25;
};

/// A row's values; an empty one is NULL.
using row_values = std::vector<std::optional<std::string_view>>;

[[nodiscard]] std::string authentication_ok();
[[nodiscard]] std::string backend_key_data(std::int32_t process, std::int32_t secret);
[[nodiscard]] std::string parameter_status(std::string_view name, std::string_view value);
[[nodiscard]] std::string ready_for_query(transaction_state state);
[[nodiscard]] std::string error_response(const error_fields& fields);
[[nodiscard]] std::string row_description(const std::vector<column>& columns);
[[nodiscard]] std::string parameter_description(const std::vector<std::int32_t>& types);
[[nodiscard]] std::string data_row(const row_values& values);
[[nodiscard]] std::string command_complete(std::string_view tag);
[[nodiscard]] std::string empty_query_response();
[[nodiscard]] std::string parse_complete();
[[nodiscard]] std::string bind_complete();
[[nodiscard]] std::string close_complete();
[[nodiscard]] std::string no_data();
/// One byte: this server does not do TLS on this connection.
[[nodiscard]] std::string ssl_refused();

} // namespace gypsumstep::pgwire
