#include "gypsumstep/pgwire/backend.h"

#include "gypsumstep/pgwire/bytes.h"

namespace gypsumstep::pgwire {
namespace {

std::string empty_message(char type)
{
    return message_writer{type}.finish();
}

} // namespace

std::string authentication_ok()
{
    return std::move(message_writer{'R'}.add_i32(0)).finish();
}

std::string backend_key_data(std::int32_t process, std::int32_t secret)
{
    return std::move(message_writer{'K'}.add_i32(process).add_i32(secret)).finish();
}

std::string parameter_status(std::string_view name, std::string_view value)
{
    return std::move(message_writer{'S'}.add_text(name).add_text(value)).finish();
}

std::string ready_for_query(transaction_state state)
{
    return std::move(message_writer{'Z'}.add_u8(static_cast<std::uint8_t>(state))).finish();
}

std::string error_response(const error_fields& fields)
{
    message_writer writer{'E'};
    const auto add = [&writer](char code, std::string_view text) {
        if (!text.empty()) {
            writer.add_u8(static_cast<std::uint8_t>(code)).add_text(text);
        }
    };
    add('S', fields.severity);
    add('V', fields.severity);
    add('C', fields.sqlstate);
    add('M', fields.message);
    add('D', fields.detail);
    add('H', fields.hint);
    writer.add_u8(0);
    return std::move(writer).finish();
}

std::string row_description(const std::vector<column>& columns)
{
    message_writer writer{'T'};
    writer.add_i16(static_cast<std::int16_t>(columns.size()));
    for (const column& each : columns) {
        writer.add_text(each.name).add_i32(0).add_i16(0).add_i32(each.type);
        writer.add_i16(each.size).add_i32(each.modifier).add_i16(each.format);
    }
    return std::move(writer).finish();
}

std::string parameter_description(const std::vector<std::int32_t>& types)
{
    message_writer writer{'t'};
    writer.add_i16(static_cast<std::int16_t>(types.size()));
    for (const auto type : types) {
        writer.add_i32(type);
    }
    return std::move(writer).finish();
}

std::string data_row(const row_values& values)
{
    message_writer writer{'D'};
    writer.add_i16(static_cast<std::int16_t>(values.size()));
    for (const auto& value : values) {
        if (!value) {
            writer.add_i32(-1);
            continue;
        }
        writer.add_i32(static_cast<std::int32_t>(value->size())).add_bytes(*value);
    }
    return std::move(writer).finish();
}

std::string command_complete(std::string_view tag)
{
    return std::move(message_writer{'C'}.add_text(tag)).finish();
}

std::string empty_query_response()
{
    return empty_message('I');
}

std::string parse_complete()
{
    return empty_message('1');
}

std::string bind_complete()
{
    return empty_message('2');
}

std::string close_complete()
{
    return empty_message('3');
}

std::string no_data()
{
    return empty_message('n');
}

std::string ssl_refused()
{
    return "N";
}

} // namespace gypsumstep::pgwire
