#include "encode_result.h"

#include "gypsumstep/pgwire/backend.h"

#include <libpq-fe.h>

#include <vector>

namespace gypsumstep::backend::detail {
namespace {

std::string error_field(const PGresult* query_result, int code)
{
    const char* text = PQresultErrorField(query_result, code);
    return text == nullptr ? std::string{} : std::string{text};
}

std::string encode_error(const PGresult* query_result)
{
    pgwire::error_fields fields;
    fields.severity = error_field(query_result, PG_DIAG_SEVERITY_NONLOCALIZED);
    fields.sqlstate = error_field(query_result, PG_DIAG_SQLSTATE);
    fields.message = error_field(query_result, PG_DIAG_MESSAGE_PRIMARY);
    fields.detail = error_field(query_result, PG_DIAG_MESSAGE_DETAIL);
    fields.hint = error_field(query_result, PG_DIAG_MESSAGE_HINT);
    return pgwire::error_response(fields);
}

std::vector<pgwire::column> read_columns(const PGresult* query_result)
{
    std::vector<pgwire::column> columns;
    columns.reserve(static_cast<std::size_t>(PQnfields(query_result)));
    for (int i = 0; i < PQnfields(query_result); ++i) {
        columns.push_back(
            {PQfname(query_result, i), static_cast<std::int32_t>(PQftype(query_result, i)),
             static_cast<std::int16_t>(PQfformat(query_result, i)),
             static_cast<std::int16_t>(PQfsize(query_result, i)), PQfmod(query_result, i)});
    }
    return columns;
}

std::string encode_rows(const PGresult* query_result)
{
    std::string bytes;
    const int columns = PQnfields(query_result);
    pgwire::row_values values(static_cast<std::size_t>(columns));
    for (int row = 0; row < PQntuples(query_result); ++row) {
        for (int i = 0; i < columns; ++i) {
            auto& value = values[static_cast<std::size_t>(i)];
            value.reset();
            if (PQgetisnull(query_result, row, i) == 0) {
                value =
                    std::string_view{PQgetvalue(query_result, row, i),
                                     static_cast<std::size_t>(PQgetlength(query_result, row, i))};
            }
        }
        bytes += pgwire::data_row(values);
    }
    return bytes;
}

} // namespace

std::string encode_result(const pg_result* query_result, bool with_description)
{
    switch (PQresultStatus(query_result)) {
    case PGRES_TUPLES_OK: {
        std::string bytes =
            with_description ? pgwire::row_description(read_columns(query_result)) : "";
        bytes += encode_rows(query_result);
        return bytes +
               pgwire::command_complete(PQcmdStatus(const_cast<PGresult*>(query_result))); // NOLINT
    }
    case PGRES_COMMAND_OK:
        return pgwire::command_complete(PQcmdStatus(const_cast<PGresult*>(query_result))); // NOLINT
    case PGRES_EMPTY_QUERY:
        return pgwire::empty_query_response();
    case PGRES_COPY_IN:
    case PGRES_COPY_OUT:
    case PGRES_COPY_BOTH:
        return pgwire::error_response({"ERROR", "0A000", "COPY is not supported", "", ""});
    default:
        return encode_error(query_result);
    }
}

std::string encode_description(const pg_result* query_result)
{
    if (PQresultStatus(query_result) != PGRES_COMMAND_OK) {
        return encode_error(query_result);
    }
    std::vector<std::int32_t> types;
    types.reserve(static_cast<std::size_t>(PQnparams(query_result)));
    for (int i = 0; i < PQnparams(query_result); ++i) {
        types.push_back(static_cast<std::int32_t>(PQparamtype(query_result, i)));
    }
    const auto columns = read_columns(query_result);
    return pgwire::parameter_description(types) +
           (columns.empty() ? pgwire::no_data() : pgwire::row_description(columns));
}

} // namespace gypsumstep::backend::detail
