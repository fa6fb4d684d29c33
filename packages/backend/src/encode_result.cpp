#include "encode_result.h"

#include "gypsumstep/pgwire/backend.h"

#include <libpq-fe.h>

#include <vector>

namespace gypsumstep::backend::detail {
namespace {

std::string error_field(const PGresult* taken, int code)
{
    const char* text = PQresultErrorField(taken, code);
    return text == nullptr ? std::string{} : std::string{text};
}

std::string encode_error(const PGresult* taken)
{
    pgwire::error_fields fields;
    fields.severity = error_field(taken, PG_DIAG_SEVERITY_NONLOCALIZED);
    fields.sqlstate = error_field(taken, PG_DIAG_SQLSTATE);
    fields.message = error_field(taken, PG_DIAG_MESSAGE_PRIMARY);
    fields.detail = error_field(taken, PG_DIAG_MESSAGE_DETAIL);
    fields.hint = error_field(taken, PG_DIAG_MESSAGE_HINT);
    return pgwire::error_response(fields);
}

std::vector<pgwire::column> columns_of(const PGresult* taken)
{
    std::vector<pgwire::column> columns;
    columns.reserve(static_cast<std::size_t>(PQnfields(taken)));
    for (int i = 0; i < PQnfields(taken); ++i) {
        columns.push_back({PQfname(taken, i), static_cast<std::int32_t>(PQftype(taken, i)),
                           static_cast<std::int16_t>(PQfformat(taken, i)),
                           static_cast<std::int16_t>(PQfsize(taken, i)), PQfmod(taken, i)});
    }
    return columns;
}

std::string encode_rows(const PGresult* taken)
{
    std::string bytes;
    const int columns = PQnfields(taken);
    pgwire::row_values values(static_cast<std::size_t>(columns));
    for (int row = 0; row < PQntuples(taken); ++row) {
        for (int i = 0; i < columns; ++i) {
            auto& value = values[static_cast<std::size_t>(i)];
            value.reset();
            if (PQgetisnull(taken, row, i) == 0) {
                value = std::string_view{PQgetvalue(taken, row, i),
                                         static_cast<std::size_t>(PQgetlength(taken, row, i))};
            }
        }
        bytes += pgwire::data_row(values);
    }
    return bytes;
}

} // namespace

std::string encode_result(const pg_result* taken, bool with_description)
{
    switch (PQresultStatus(taken)) {
    case PGRES_TUPLES_OK: {
        std::string bytes = with_description ? pgwire::row_description(columns_of(taken)) : "";
        bytes += encode_rows(taken);
        return bytes +
               pgwire::command_complete(PQcmdStatus(const_cast<PGresult*>(taken))); // NOLINT
    }
    case PGRES_COMMAND_OK:
        return pgwire::command_complete(PQcmdStatus(const_cast<PGresult*>(taken))); // NOLINT
    case PGRES_EMPTY_QUERY:
        return pgwire::empty_query_response();
    case PGRES_COPY_IN:
    case PGRES_COPY_OUT:
    case PGRES_COPY_BOTH:
        return pgwire::error_response({"ERROR", "0A000", "COPY is not supported", "", ""});
    default:
        return encode_error(taken);
    }
}

std::string encode_description(const pg_result* taken)
{
    if (PQresultStatus(taken) != PGRES_COMMAND_OK) {
        return encode_error(taken);
    }
    std::vector<std::int32_t> types;
    types.reserve(static_cast<std::size_t>(PQnparams(taken)));
    for (int i = 0; i < PQnparams(taken); ++i) {
        types.push_back(static_cast<std::int32_t>(PQparamtype(taken, i)));
    }
    const auto columns = columns_of(taken);
    return pgwire::parameter_description(types) +
           (columns.empty() ? pgwire::no_data() : pgwire::row_description(columns));
}

} // namespace gypsumstep::backend::detail
