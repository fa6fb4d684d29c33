#include "gypsumstep/config/messages.h"

#include "gypsumstep/config/nesting.h"

#include <utility>

namespace gypsumstep::config {
namespace {

/// Message type: the first element of the CBOR array that encodes a message.
enum class tag : std::uint8_t { announce = 1, status = 2, deltas = 3, snapshot = 4 };

json to_array(const announce& value)
{
    return {tag::announce, value.version.value(), value.sequence};
}

json to_array(const status& value)
{
    json array{tag::status, value.version.value(), value.echo};
    if (value.confirmed_age) {
        array.push_back(static_cast<std::uint64_t>(value.confirmed_age->count()));
    }
    return array;
}

json to_array(const deltas& value)
{
    json array{tag::deltas};
    for (const auto& change : value.changes) {
        array.push_back(to_json(change));
    }
    return array;
}

json to_array(const snapshot& value)
{
    return {tag::snapshot, to_json(value.head), *value.document};
}

bool is_number(const json& array, std::size_t index)
{
    return index < array.size() && array[index].is_number_unsigned();
}

error malformed()
{
    return {error_code::invalid_argument, "malformed configuration message"};
}

result<message> read_announce(const json& array)
{
    if (array.size() != 3 || !is_number(array, 1) || !is_number(array, 2)) {
        return malformed();
    }
    return message{
        announce{config_version{array[1].get<std::uint64_t>()}, array[2].get<std::uint64_t>()}};
}

result<message> read_status(const json& array)
{
    const bool has_age = array.size() == 4;
    if ((!has_age && array.size() != 3) || !is_number(array, 1) || !is_number(array, 2) ||
        (has_age && !is_number(array, 3))) {
        return malformed();
    }
    status value{config_version{array[1].get<std::uint64_t>()}, array[2].get<std::uint64_t>(), {}};
    if (has_age) {
        const auto age = array[3].get<duration::rep>();
        if (age < 0) {
            return malformed();
        }
        value.confirmed_age = duration{age};
    }
    return message{value};
}

result<message> read_deltas(const json& array)
{
    deltas value;
    for (std::size_t i = 1; i < array.size(); ++i) {
        auto change = parse_change(array[i]);
        if (!change) {
            return change.error();
        }
        value.changes.push_back(std::move(change.value()));
    }
    return message{std::move(value)};
}

result<message> read_snapshot(const json& array)
{
    if (array.size() != 3) {
        return malformed();
    }
    auto head = parse_head(array[1]);
    if (!head) {
        return head.error();
    }
    return message{snapshot{std::move(head.value()), std::make_shared<const json>(array[2])}};
}

} // namespace

std::string encode(const message& value)
{
    const json array = std::visit([](const auto& content) { return to_array(content); }, value);
    std::string body;
    json::to_cbor(array, body);
    return body;
}

result<message> decode_message(const std::string& body)
{
    if (!is_bounded_cbor(body, nesting_limit)) {
        return malformed();
    }
    const json array = json::from_cbor(body, true, false);
    if (!array.is_array() || !is_number(array, 0)) {
        return malformed();
    }
    switch (static_cast<tag>(array[0].get<std::uint64_t>())) {
    case tag::announce:
        return read_announce(array);
    case tag::status:
        return read_status(array);
    case tag::deltas:
        return read_deltas(array);
    case tag::snapshot:
        return read_snapshot(array);
    }
    return malformed();
}

} // namespace gypsumstep::config
