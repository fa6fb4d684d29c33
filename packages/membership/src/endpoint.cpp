#include "gypsumstep/membership/endpoint.h"

#include <charconv>

namespace gypsumstep::membership {
namespace {

/// Consumes a decimal number of at most \p limit from the front of \p text.
std::optional<std::uint32_t> take_number(std::string_view& text, std::uint32_t limit)
{
    std::uint32_t value = 0;
    const auto [stop, status] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (status != std::errc{} || value > limit) {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(stop - text.data()));
    return value;
}

bool take_char(std::string_view& text, char expected)
{
    if (!text.starts_with(expected)) {
        return false;
    }
    text.remove_prefix(1);
    return true;
}

} // namespace

std::string to_string(const endpoint& value)
{
    std::string text;
    for (const unsigned shift : {24U, 16U, 8U, 0U}) {
        text += std::to_string((value.ip >> shift) & 0xFFU);
        text += shift == 0 ? ':' : '.';
    }
    return text + std::to_string(value.port);
}

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    endpoint value;
    for (int part = 0; part < 4; ++part) {
        const auto octet = take_number(text, 255);
        if (!octet || !take_char(text, part == 3 ? ':' : '.')) {
            return std::nullopt;
        }
        value.ip = (value.ip << 8U) | *octet;
    }
    const auto port = take_number(text, 65535);
    if (!port || !text.empty()) {
        return std::nullopt;
    }
    value.port = static_cast<std::uint16_t>(*port);
    return value;
}

} // namespace gypsumstep::membership
