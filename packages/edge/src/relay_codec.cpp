#include "relay_codec.h"

#include "cbor_reading.h"

#include <QtEndian>

#include <utility>

namespace gypsumstep::edge {
namespace {

/// First element of each message: its kind. A changed layout gets a new number.
enum class message_kind : std::uint8_t { hello = 1, urgency, status, rows, unchanged };

constexpr qsizetype length_bytes = 4;

QCborValue kind_of(message_kind kind)
{
    return static_cast<qint64>(kind);
}

QCborArray encode(const relay_hello& message)
{
    const homes::daemon_entry& daemon = message.daemon;
    return {kind_of(message_kind::hello), to_cbor(daemon.name), to_cbor(daemon.domain),
            to_cbor(daemon.host),         qint64{daemon.port},  qint64{daemon.capacity}};
}

QCborArray encode(const relay_urgency& message)
{
    return {kind_of(message_kind::urgency), static_cast<qint64>(message.servers)};
}

QCborArray encode(const relay_status& message)
{
    return {kind_of(message_kind::status), qint64{message.failing_for.count()},
            qint64{message.store_clock.count()}};
}

QCborArray encode(const relay_rows& message)
{
    QCborArray rows;
    for (const adapter::stored_row& row : message.rows.rows) {
        rows.append(QCborArray{to_cbor(row.key), QByteArray::fromStdString(row.value),
                               to_cbor(row.version)});
    }
    return {kind_of(message_kind::rows), static_cast<qint64>(message.subject),
            to_cbor(message.rows.moment.version), qint64{message.rows.moment.now.count()}, rows};
}

QCborArray encode(const relay_unchanged& message)
{
    return {kind_of(message_kind::unchanged), static_cast<qint64>(message.subject),
            to_cbor(message.moment.version), qint64{message.moment.now.count()}};
}

adapter::store_moment read_moment(cbor_array_reader& fields)
{
    adapter::store_moment moment;
    moment.version = fields.number();
    moment.now = promotion::store_time{fields.number()};
    return moment;
}

store_subject read_subject(cbor_array_reader& fields)
{
    return static_cast<store_subject>(fields.number(store_subject_count - 1));
}

relay_hello read_hello(cbor_array_reader& fields)
{
    relay_hello message;
    message.daemon.name = fields.text();
    message.daemon.domain = fields.text();
    message.daemon.host = fields.text();
    message.daemon.port = static_cast<std::uint16_t>(fields.number(UINT16_MAX));
    message.daemon.capacity = static_cast<std::uint32_t>(fields.number(homes::max_capacity));
    return message;
}

relay_rows read_rows(cbor_array_reader& fields, bool& failed)
{
    relay_rows message;
    message.subject = read_subject(fields);
    message.rows.moment = read_moment(fields);
    fields.each([&](const QCborValue& element) {
        cbor_array_reader row{element};
        adapter::stored_row decoded;
        decoded.key = row.text();
        decoded.value = row.bytes();
        decoded.version = row.number();
        failed = failed || row.failed();
        message.rows.rows.push_back(std::move(decoded));
    });
    return message;
}

std::optional<relay_message> decode(const QByteArray& bytes)
{
    QCborParserError problem;
    const QCborValue document = QCborValue::fromCbor(bytes, &problem);
    if (problem.error != QCborError{QCborError::NoError}) {
        return std::nullopt;
    }
    cbor_array_reader fields{document};
    std::optional<relay_message> message;
    bool failed = false;
    switch (static_cast<message_kind>(fields.number(UINT8_MAX))) {
    case message_kind::hello:
        message = read_hello(fields);
        break;
    case message_kind::urgency: {
        constexpr auto most = static_cast<std::uint64_t>(proxy::listing_urgency::urgent);
        message = relay_urgency{static_cast<proxy::listing_urgency>(fields.number(most))};
        break;
    }
    case message_kind::status: {
        const duration failing_for{fields.number()};
        message = relay_status{failing_for, promotion::store_time{fields.number()}};
        break;
    }
    case message_kind::rows:
        message = read_rows(fields, failed);
        break;
    case message_kind::unchanged: {
        const store_subject subject = read_subject(fields);
        message = relay_unchanged{subject, read_moment(fields)};
        break;
    }
    default:
        failed = true;
        break;
    }
    return failed || fields.failed() ? std::nullopt : message;
}

} // namespace

QByteArray encode_relay_message(const relay_message& message)
{
    const QCborArray fields =
        std::visit([](const auto& alternative) { return encode(alternative); }, message);
    const QByteArray body = QCborValue{fields}.toCbor();
    QByteArray bytes{length_bytes, '\0'};
    qToBigEndian(static_cast<quint32>(body.size()), bytes.data());
    return bytes + body;
}

result<std::optional<relay_message>> relay_decoder::next()
{
    if (m_buffer.size() < length_bytes) {
        return std::optional<relay_message>{};
    }
    const auto length = static_cast<qsizetype>(qFromBigEndian<quint32>(m_buffer.constData()));
    if (length > m_max_bytes) {
        return error{error_code::invalid_argument, "a message is too long"};
    }
    if (m_buffer.size() < length_bytes + length) {
        return std::optional<relay_message>{};
    }
    auto message = decode(m_buffer.mid(length_bytes, length));
    m_buffer.remove(0, length_bytes + length);
    if (!message) {
        return error{error_code::invalid_argument, "a message is malformed"};
    }
    return message;
}

} // namespace gypsumstep::edge
