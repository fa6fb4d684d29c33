#include "gypsumstep/pgwire/frontend.h"

#include "gypsumstep/pgwire/bytes.h"

namespace gypsumstep::pgwire {
namespace {

constexpr std::int32_t protocol_3_0 = 196608;
constexpr std::int32_t ssl_request_code = 80877103;
constexpr std::int32_t cancel_request_code = 80877102;
constexpr std::int32_t gss_request_code = 80877104;

error malformed(const char* what)
{
    return {error_code::invalid_argument, std::string{"malformed message: "} + what};
}

result<frontend_message> decode_startup(field_reader reader)
{
    switch (reader.read_i32()) {
    case ssl_request_code:
        return frontend_message{ssl_request{}};
    case gss_request_code:
        return frontend_message{gss_request{}};
    case cancel_request_code: {
        cancel_request request;
        request.process = reader.read_i32();
        request.secret = reader.read_i32();
        if (!reader.complete()) {
            return malformed("CancelRequest");
        }
        return frontend_message{request};
    }
    case protocol_3_0:
        break;
    default:
        return malformed("unsupported protocol version");
    }
    startup message;
    while (reader.ok()) {
        std::string name = reader.read_text();
        if (name.empty()) {
            break;
        }
        message.parameters[std::move(name)] = reader.read_text();
    }
    if (!reader.complete()) {
        return malformed("StartupMessage");
    }
    return frontend_message{std::move(message)};
}

result<frontend_message> decode_parse(field_reader reader)
{
    parse message;
    message.statement = reader.read_text();
    message.sql = reader.read_text();
    const auto count = reader.read_i16();
    for (int i = 0; i < count && reader.ok(); ++i) {
        message.parameter_types.push_back(reader.read_i32());
    }
    if (!reader.complete() || count < 0) {
        return malformed("Parse");
    }
    return frontend_message{std::move(message)};
}

std::vector<std::int16_t> read_formats(field_reader& reader)
{
    std::vector<std::int16_t> formats;
    const auto count = reader.read_i16();
    for (int i = 0; i < count && reader.ok(); ++i) {
        formats.push_back(reader.read_i16());
    }
    return formats;
}

result<frontend_message> decode_bind(field_reader reader)
{
    bind message;
    message.portal = reader.read_text();
    message.statement = reader.read_text();
    message.parameter_formats = read_formats(reader);
    const auto count = reader.read_i16();
    for (int i = 0; i < count && reader.ok(); ++i) {
        const auto size = reader.read_i32();
        if (size < 0) {
            message.parameters.emplace_back(std::nullopt);
        }
        else {
            message.parameters.emplace_back(reader.read_bytes(static_cast<std::size_t>(size)));
        }
    }
    message.result_formats = read_formats(reader);
    if (!reader.complete()) {
        return malformed("Bind");
    }
    return frontend_message{std::move(message)};
}

template <class Message>
result<frontend_message> decode_kind_and_name(field_reader reader)
{
    Message message;
    message.kind = static_cast<char>(reader.read_u8());
    message.name = reader.read_text();
    if (!reader.complete() || (message.kind != 'S' && message.kind != 'P')) {
        return malformed("Describe or Close");
    }
    return frontend_message{std::move(message)};
}

result<frontend_message> decode_query(field_reader reader)
{
    query message{reader.read_text()};
    if (!reader.complete()) {
        return malformed("Query");
    }
    return frontend_message{std::move(message)};
}

result<frontend_message> decode_execute(field_reader reader)
{
    execute message;
    message.portal = reader.read_text();
    message.max_rows = reader.read_i32();
    if (!reader.complete()) {
        return malformed("Execute");
    }
    return frontend_message{std::move(message)};
}

} // namespace

result<frontend_message> decode_frontend(const raw_message& message)
{
    const field_reader reader{message.body};
    switch (message.type) {
    case 0:
        return decode_startup(reader);
    case 'Q':
        return decode_query(reader);
    case 'P':
        return decode_parse(reader);
    case 'B':
        return decode_bind(reader);
    case 'D':
        return decode_kind_and_name<describe>(reader);
    case 'C':
        return decode_kind_and_name<close>(reader);
    case 'E':
        return decode_execute(reader);
    case 'S':
        return frontend_message{sync{}};
    case 'H':
        return frontend_message{flush{}};
    case 'X':
        return frontend_message{terminate{}};
    default:
        return frontend_message{unsupported{message.type}};
    }
}

} // namespace gypsumstep::pgwire
