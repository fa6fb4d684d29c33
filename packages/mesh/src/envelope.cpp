#include "gypsumstep/mesh/envelope.h"

#include <QByteArray>
#include <QCborArray>
#include <QCborValue>

namespace gypsumstep::mesh {
namespace {

constexpr qsizetype field_count = 3;
constexpr auto first_kind = static_cast<qint64>(message_kind::membership);
constexpr auto last_kind = static_cast<qint64>(message_kind::control);

error malformed(const char* what)
{
    return {error_code::invalid_argument, std::string{"malformed envelope: "} + what};
}

} // namespace

std::string encode(const envelope& value)
{
    const QCborArray fields{static_cast<qint64>(value.id.value()), static_cast<qint64>(value.kind),
                            QByteArray::fromStdString(value.body)};
    return QCborValue{fields}.toCbor().toStdString();
}

result<envelope> decode_envelope(const std::string& frame)
{
    QCborParserError status{};
    const QByteArray bytes = QByteArray::fromRawData(frame.data(), qsizetype(frame.size()));
    const QCborValue value = QCborValue::fromCbor(bytes, &status);
    if (status.error != QCborError::NoError) {
        return malformed("not CBOR");
    }
    if (status.offset != bytes.size()) {
        return malformed("bytes left over");
    }
    const QCborArray fields = value.toArray();
    if (!value.isArray() || fields.size() != field_count || !fields[0].isInteger() ||
        !fields[1].isInteger() || !fields[2].isByteArray()) {
        return malformed("wrong fields");
    }
    const qint64 kind = fields[1].toInteger();
    if (kind < first_kind || kind > last_kind) {
        return malformed("unknown kind");
    }
    return envelope{request_id{static_cast<std::uint64_t>(fields[0].toInteger())},
                    static_cast<message_kind>(kind), fields[2].toByteArray().toStdString()};
}

} // namespace gypsumstep::mesh
