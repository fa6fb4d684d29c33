/// \file
/// Messages that callers send, PostgreSQL protocol 3.0.
#pragma once

#include "gypsumstep/base/error.h"
#include "gypsumstep/pgwire/splitter.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gypsumstep::pgwire {

/// Opens a session; "user" and "database" are among the parameters.
struct startup {
    std::map<std::string, std::string> parameters;
};
/// Asks for TLS; answered with one byte.
struct ssl_request {};
/// Asks for GSS encryption; answered with one byte.
struct gss_request {};
/// Asks on a separate connection to cancel another connection's statement.
struct cancel_request {
    std::int32_t process{0};
    std::int32_t secret{0};
};
/// Simple query.
struct query {
    std::string sql;
};
/// Prepares a named or unnamed statement.
struct parse {
    std::string statement;
    std::string sql;
    std::vector<std::int32_t> parameter_types;
};
/// Binds parameter values to a prepared statement.
struct bind {
    std::string portal;
    std::string statement;
    std::vector<std::int16_t> parameter_formats;
    std::vector<std::optional<std::string>> parameters;
    std::vector<std::int16_t> result_formats;
};
/// Asks for the shape of a statement ('S') or portal ('P').
struct describe {
    char kind{'S'};
    std::string name;
};
/// Runs a portal.
struct execute {
    std::string portal;
    std::int32_t max_rows{0};
};
/// Drops a statement ('S') or portal ('P').
struct close {
    char kind{'S'};
    std::string name;
};
/// Ends an extended-query series.
struct sync {};
/// Asks for pending answers without ending the series.
struct flush {};
/// Ends the session.
struct terminate {};
/// A message that is read and not supported, e.g. COPY data.
struct unsupported {
    char type{0};
};

using frontend_message =
    std::variant<startup, ssl_request, gss_request, cancel_request, query, parse, bind, describe,
                 execute, close, sync, flush, terminate, unsupported>;

/// Decodes one message; error_code::invalid_argument if its fields do not fit its body.
[[nodiscard]] result<frontend_message> decode_frontend(const raw_message& message);

} // namespace gypsumstep::pgwire
