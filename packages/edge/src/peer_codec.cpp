#include "peer_codec.h"

#include "cbor_reading.h"

#include <QCborArray>
#include <QCborValue>

#include <optional>

namespace gypsumstep::edge {
namespace {

/// First element of each message; changes with its layout.
constexpr qint64 format_version = 1;

/// Age of a sender that knows no claims of the store yet.
constexpr qint64 unknown_age = -1;

promotion::claim_notice read_claim(cbor_array_reader& fields)
{
    promotion::claim_notice notice;
    notice.service = fields.text();
    notice.token = fields.number();
    notice.target = fields.text();
    return notice;
}

promotion::release_notice read_release(cbor_array_reader& fields)
{
    promotion::release_notice notice;
    notice.service = fields.text();
    notice.token = fields.number();
    notice.demoted = fields.text();
    if (!fields.at_end()) {
        const term entry_term{fields.number()};
        notice.position = log_position{entry_term, fields.number()};
    }
    return notice;
}

} // namespace

QByteArray encode_peer_message(const promotion::peer_message& message)
{
    QCborArray claims;
    for (const promotion::claim_notice& notice : message.claims) {
        claims.append(
            QCborArray{to_cbor(notice.service), to_cbor(notice.token), to_cbor(notice.target)});
    }
    QCborArray releases;
    for (const promotion::release_notice& notice : message.releases) {
        QCborArray fields{to_cbor(notice.service), to_cbor(notice.token), to_cbor(notice.demoted)};
        if (notice.position) {
            fields.append(to_cbor(notice.position->entry_term.value()));
            fields.append(to_cbor(notice.position->index));
        }
        releases.append(fields);
    }
    QCborArray guests;
    for (const std::string& guest : message.guests) {
        guests.append(to_cbor(guest));
    }
    const qint64 age = message.age ? message.age->count() : unknown_age;
    const QCborArray fields{format_version,
                            to_cbor(message.sender),
                            to_cbor(message.number),
                            message.is_answer,
                            age,
                            claims,
                            releases,
                            guests,
                            to_cbor(message.store_era)};
    return QCborValue{fields}.toCbor();
}

result<promotion::peer_message> decode_peer_message(const QByteArray& bytes)
{
    const error malformed{error_code::invalid_argument, "not a message of a daemon"};
    QCborParserError problem;
    const QCborValue document = QCborValue::fromCbor(bytes, &problem);
    if (problem.error != QCborError{QCborError::NoError} || problem.offset != bytes.size()) {
        return malformed;
    }
    cbor_array_reader fields{document};
    if (fields.number() != static_cast<std::uint64_t>(format_version)) {
        return malformed;
    }
    promotion::peer_message message;
    message.sender = fields.text();
    message.number = fields.number();
    message.is_answer = fields.boolean();
    if (const qint64 age = fields.integer(); age >= 0) {
        message.age = duration{age};
    }
    bool elements_failed = false;
    fields.each([&](const QCborValue& element) {
        cbor_array_reader claim{element};
        message.claims.push_back(read_claim(claim));
        elements_failed = elements_failed || claim.failed();
    });
    fields.each([&](const QCborValue& element) {
        cbor_array_reader notice{element};
        message.releases.push_back(read_release(notice));
        elements_failed = elements_failed || notice.failed();
    });
    fields.each([&](const QCborValue& element) {
        elements_failed = elements_failed || !element.isString();
        message.guests.push_back(element.toString().toStdString());
    });
    if (!fields.at_end()) {
        message.store_era = fields.number(); // daemons of earlier versions send none
    }
    if (fields.failed() || elements_failed || message.sender.empty()) {
        return malformed;
    }
    return message;
}

} // namespace gypsumstep::edge
