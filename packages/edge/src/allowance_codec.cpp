#include "allowance_codec.h"

#include "cbor_reading.h"

#include <QCborArray>
#include <QCborValue>

#include <chrono>
#include <cstdint>
#include <limits>

namespace gypsumstep::edge {
namespace {

/// First element of each message. Other values than those of peer_codec.cpp, and changed with the
/// layout.
constexpr qint64 request_format = 2;
constexpr qint64 answer_format = 3;
constexpr qint64 presence_format = 4;

constexpr std::uint64_t max_count = std::numeric_limits<std::uint32_t>::max();

/// Longest time to ask a keeper again that is read, in milliseconds: a day.
constexpr std::uint64_t max_retry_ms = 86'400'000;

QCborArray to_array(const allowance::token_request& request)
{
    QCborArray needs;
    for (const allowance::account_need& need : request.needs) {
        needs.append(to_cbor(need.account));
        needs.append(static_cast<qint64>(need.waiting));
        needs.append(static_cast<qint64>(need.ahead));
        needs.append(static_cast<qint64>(need.thousandths));
    }
    return {request_format, to_cbor(request.sender), to_cbor(request.number), needs};
}

QCborArray to_array(const allowance::token_answer& answer)
{
    QCborArray grants;
    for (const allowance::account_grant& grant : answer.grants) {
        const auto retry = std::chrono::ceil<std::chrono::milliseconds>(grant.retry_after);
        grants.append(static_cast<qint64>(grant.thousandths));
        grants.append(static_cast<qint64>(retry.count()));
    }
    return {answer_format, to_cbor(answer.number), answer.is_keeper, grants};
}

QCborArray to_array(const allowance::presence& content)
{
    QCborArray higher;
    for (const allowance::known_daemon& daemon : content.higher) {
        higher.append(to_cbor(daemon.name));
        higher.append(static_cast<qint64>(daemon.capacity));
    }
    return {presence_format,         to_cbor(content.sender),
            to_cbor(content.domain), static_cast<qint64>(content.capacity),
            content.is_answer,       higher};
}

std::uint32_t read_count(cbor_array_reader& fields)
{
    return static_cast<std::uint32_t>(fields.number(max_count));
}

allowance::token_request read_request(cbor_array_reader& fields)
{
    allowance::token_request request;
    request.sender = fields.text();
    request.number = fields.number();
    cbor_array_reader needs{fields.next()};
    while (!needs.failed() && !needs.at_end()) {
        allowance::account_need need;
        need.account = needs.text();
        need.waiting = read_count(needs);
        need.ahead = read_count(needs);
        need.thousandths = read_count(needs);
        request.needs.push_back(std::move(need));
    }
    if (needs.failed()) {
        request.sender.clear();
    }
    return request;
}

/// Reads an answer; false if it is malformed.
bool read_answer(cbor_array_reader& fields, allowance::token_answer& answer)
{
    answer.number = fields.number();
    answer.is_keeper = fields.boolean();
    cbor_array_reader grants{fields.next()};
    while (!grants.failed() && !grants.at_end()) {
        allowance::account_grant grant;
        grant.thousandths = read_count(grants);
        grant.retry_after = std::chrono::milliseconds{grants.number(max_retry_ms)};
        answer.grants.push_back(grant);
    }
    return !grants.failed();
}

} // namespace

bool is_allowance_message(const QByteArray& bytes)
{
    // An array of up to 23 elements, and a first element up to 23, take one byte each.
    return bytes.size() > 1 && bytes[1] >= request_format && bytes[1] <= presence_format;
}

QByteArray encode_allowance_message(const allowance::message& message)
{
    return std::visit(
        [](const auto& alternative) { return QCborValue{to_array(alternative)}.toCbor(); },
        message);
}

result<allowance::message> decode_allowance_message(const QByteArray& bytes)
{
    const error malformed{error_code::invalid_argument, "not a message about allowances"};
    QCborParserError problem;
    const QCborValue document = QCborValue::fromCbor(bytes, &problem);
    if (problem.error != QCborError{QCborError::NoError} || problem.offset != bytes.size()) {
        return malformed;
    }
    cbor_array_reader fields{document};
    switch (fields.integer()) {
    case request_format: {
        allowance::token_request request = read_request(fields);
        if (fields.failed() || request.sender.empty()) {
            return malformed;
        }
        return allowance::message{std::move(request)};
    }
    case answer_format: {
        allowance::token_answer answer;
        if (!read_answer(fields, answer) || fields.failed()) {
            return malformed;
        }
        return allowance::message{std::move(answer)};
    }
    case presence_format: {
        allowance::presence content;
        content.sender = fields.text();
        content.domain = fields.text();
        content.capacity = read_count(fields);
        content.is_answer = fields.boolean();
        cbor_array_reader higher{fields.next()};
        while (!higher.failed() && !higher.at_end()) {
            allowance::known_daemon daemon;
            daemon.name = higher.text();
            daemon.capacity = read_count(higher);
            content.higher.push_back(std::move(daemon));
        }
        if (fields.failed() || higher.failed() || content.sender.empty()) {
            return malformed;
        }
        return allowance::message{std::move(content)};
    }
    default:
        return malformed;
    }
}

const std::string* sender_of(const allowance::message& message)
{
    if (const auto* const request = std::get_if<allowance::token_request>(&message)) {
        return &request->sender;
    }
    const auto* const content = std::get_if<allowance::presence>(&message);
    return content == nullptr ? nullptr : &content->sender;
}

} // namespace gypsumstep::edge
