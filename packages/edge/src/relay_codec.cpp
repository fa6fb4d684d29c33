#include "relay_codec.h"

#include "cbor_reading.h"
#include "deflate.h"

#include <QtEndian>

#include <utility>

namespace gypsumstep::edge {
namespace {

/// First element of each message: its kind. A changed layout gets a new number.
enum class message_kind : std::uint8_t {
    hello = 1,
    urgency,
    status,
    rows,
    unchanged,
    changes,
    compressed
};

constexpr qsizetype length_bytes = 4;

/// Shorter messages are not compressed: they fit into few packets as they are.
constexpr qsizetype min_compressed_bytes = 4096;

QCborValue kind_of(message_kind kind)
{
    return static_cast<qint64>(kind);
}

QCborArray encode(const relay_hello& message)
{
    const homes::daemon_entry& daemon = message.daemon;
    QCborArray fields{kind_of(message_kind::hello), to_cbor(daemon.name), to_cbor(daemon.domain),
                      to_cbor(daemon.host),         qint64{daemon.port},  qint64{daemon.capacity}};
    if (message.digests) {
        QCborArray digests;
        for (const std::uint64_t digest : *message.digests) {
            digests.append(to_cbor(digest));
        }
        fields.append(digests);
    }
    return fields;
}

QCborArray encode(const relay_urgency& message)
{
    return {kind_of(message_kind::urgency), static_cast<qint64>(message.servers)};
}

QCborArray encode(const relay_status& message)
{
    return {kind_of(message_kind::status), qint64{message.failing_for.count()},
            qint64{message.store_clock.count()}, to_cbor(message.era),
            qint64{message.confirmed_ago.count()}};
}

QCborArray encode(const std::vector<adapter::stored_row>& stored)
{
    QCborArray rows;
    for (const adapter::stored_row& row : stored) {
        rows.append(QCborArray{to_cbor(row.key), QByteArray::fromStdString(row.value),
                               to_cbor(row.version)});
    }
    return rows;
}

QCborArray encode(const relay_rows& message)
{
    const QCborArray rows = encode(message.rows.rows);
    return {kind_of(message_kind::rows),
            static_cast<qint64>(message.subject),
            to_cbor(message.rows.moment.version),
            qint64{message.rows.moment.now.count()},
            rows,
            to_cbor(message.rows.moment.era)};
}

QCborArray encode(const relay_unchanged& message)
{
    return {kind_of(message_kind::unchanged), static_cast<qint64>(message.subject),
            to_cbor(message.moment.version), qint64{message.moment.now.count()},
            to_cbor(message.moment.era)};
}

QCborArray encode(const row_patch& patch)
{
    QCborArray edits;
    for (const text_edit& edit : patch.edits) {
        edits.append(QCborArray{to_cbor(edit.offset), to_cbor(edit.length),
                                QByteArray::fromStdString(edit.text)});
    }
    return {to_cbor(patch.key), to_cbor(patch.version), edits};
}

QCborArray encode(const relay_changes& message)
{
    QCborArray patched;
    for (const row_patch& patch : message.changes.patched) {
        patched.append(encode(patch));
    }
    QCborArray removed;
    for (const std::string& key : message.changes.removed) {
        removed.append(to_cbor(key));
    }
    return {kind_of(message_kind::changes),
            static_cast<qint64>(message.subject),
            to_cbor(message.base.version),
            qint64{message.base.now.count()},
            to_cbor(message.moment.version),
            qint64{message.moment.now.count()},
            to_cbor(message.digest),
            encode(message.changes.changed),
            patched,
            removed,
            to_cbor(message.base.era),
            to_cbor(message.moment.era)};
}

adapter::store_moment read_moment(cbor_array_reader& fields)
{
    adapter::store_moment moment;
    moment.version = fields.number();
    moment.now = promotion::store_time{fields.number()};
    return moment;
}

/// Reads the era at the end of a message; daemons of earlier versions send none.
std::uint64_t read_era(cbor_array_reader& fields)
{
    return fields.at_end() ? 0 : fields.number();
}

store_subject read_subject(cbor_array_reader& fields)
{
    return static_cast<store_subject>(fields.number(store_subject_count - 1));
}

relay_hello read_hello(cbor_array_reader& fields, bool& failed)
{
    relay_hello message;
    message.daemon.name = fields.text();
    message.daemon.domain = fields.text();
    message.daemon.host = fields.text();
    message.daemon.port = static_cast<std::uint16_t>(fields.number(UINT16_MAX));
    message.daemon.capacity = static_cast<std::uint32_t>(fields.number(homes::max_capacity));
    if (!fields.at_end()) {
        cbor_array_reader digests{fields.next()};
        message.digests.emplace();
        for (std::uint64_t& digest : *message.digests) {
            digest = digests.number();
        }
        failed = failed || digests.failed();
    }
    return message;
}

std::vector<adapter::stored_row> read_stored_rows(cbor_array_reader& fields, bool& failed)
{
    std::vector<adapter::stored_row> rows;
    fields.each([&](const QCborValue& element) {
        cbor_array_reader row{element};
        adapter::stored_row decoded;
        decoded.key = row.text();
        decoded.value = row.bytes();
        decoded.version = row.number();
        failed = failed || row.failed();
        rows.push_back(std::move(decoded));
    });
    return rows;
}

relay_rows read_rows(cbor_array_reader& fields, bool& failed)
{
    relay_rows message;
    message.subject = read_subject(fields);
    message.rows.moment = read_moment(fields);
    message.rows.rows = read_stored_rows(fields, failed);
    message.rows.moment.era = read_era(fields);
    return message;
}

row_patch read_patch(cbor_array_reader& fields, bool& failed)
{
    row_patch patch;
    patch.key = fields.text();
    patch.version = fields.number();
    fields.each([&](const QCborValue& element) {
        cbor_array_reader edit{element};
        text_edit decoded;
        decoded.offset = edit.number();
        decoded.length = edit.number();
        decoded.text = edit.bytes();
        failed = failed || edit.failed();
        patch.edits.push_back(std::move(decoded));
    });
    failed = failed || fields.failed();
    return patch;
}

relay_changes read_changes(cbor_array_reader& fields, bool& failed)
{
    relay_changes message;
    message.subject = read_subject(fields);
    message.base = read_moment(fields);
    message.moment = read_moment(fields);
    message.digest = fields.number();
    message.changes.changed = read_stored_rows(fields, failed);
    fields.each([&](const QCborValue& element) {
        cbor_array_reader patch{element};
        message.changes.patched.push_back(read_patch(patch, failed));
    });
    fields.each([&](const QCborValue& element) {
        failed = failed || !element.isString();
        message.changes.removed.push_back(element.toString().toStdString());
    });
    message.base.era = read_era(fields);
    message.moment.era = read_era(fields);
    return message;
}

/// Returns a message with its length before it.
QByteArray with_length(const QByteArray& body)
{
    QByteArray bytes{length_bytes, '\0'};
    qToBigEndian(static_cast<quint32>(body.size()), bytes.data());
    return bytes + body;
}

QByteArray encode_body(const relay_message& message)
{
    const QCborArray fields =
        std::visit([](const auto& alternative) { return encode(alternative); }, message);
    return QCborValue{fields}.toCbor();
}

enum class nesting : std::uint8_t { allowed, refused };

std::optional<relay_message> decode(const QByteArray& bytes, nesting compressed);

std::optional<relay_message> decode_compressed(cbor_array_reader& fields)
{
    const auto size =
        static_cast<qsizetype>(fields.number(static_cast<std::uint64_t>(max_relay_message_bytes)));
    const QByteArray content = fields.next().toByteArray();
    const auto body = fields.failed() ? std::nullopt : inflate(content, size);
    return body ? decode(*body, nesting::refused) : std::nullopt;
}

std::optional<relay_message> decode(const QByteArray& bytes, nesting compressed)
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
        message = read_hello(fields, failed);
        break;
    case message_kind::urgency: {
        constexpr auto most = static_cast<std::uint64_t>(proxy::listing_urgency::urgent);
        message = relay_urgency{static_cast<proxy::listing_urgency>(fields.number(most))};
        break;
    }
    case message_kind::status: {
        const duration failing_for{fields.number()};
        const promotion::store_time store_clock{fields.number()};
        const std::uint64_t era = read_era(fields);
        // Daemons of earlier versions tell only for how long their calls have failed.
        const duration confirmed_ago = fields.at_end() ? failing_for : duration{fields.number()};
        message = relay_status{failing_for, store_clock, era, confirmed_ago};
        break;
    }
    case message_kind::rows:
        message = read_rows(fields, failed);
        break;
    case message_kind::unchanged: {
        const store_subject subject = read_subject(fields);
        relay_unchanged unchanged{subject, read_moment(fields)};
        unchanged.moment.era = read_era(fields);
        message = unchanged;
        break;
    }
    case message_kind::changes:
        message = read_changes(fields, failed);
        break;
    case message_kind::compressed:
        // Refused inside another one, so that a message cannot grow without limit.
        if (compressed == nesting::allowed) {
            message = decode_compressed(fields);
        }
        break;
    default:
        failed = true;
        break;
    }
    return failed || fields.failed() ? std::nullopt : message;
}

} // namespace

QByteArray encode_relay_message(const relay_message& message)
{
    return with_length(encode_body(message));
}

QByteArray encode_compressed(const relay_message& message)
{
    const QByteArray body = encode_body(message);
    if (body.size() < min_compressed_bytes) {
        return with_length(body);
    }
    const QCborArray fields{kind_of(message_kind::compressed), qint64{body.size()}, deflate(body)};
    return with_length(QCborValue{fields}.toCbor());
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
    auto message = decode(m_buffer.mid(length_bytes, length), nesting::allowed);
    m_buffer.remove(0, length_bytes + length);
    if (!message) {
        return error{error_code::invalid_argument, "a message is malformed"};
    }
    return message;
}

} // namespace gypsumstep::edge
