#include "gypsumstep/accounts/key_digest.h"

#include <charconv>

namespace gypsumstep::accounts {
namespace {

constexpr std::size_t digits_per_byte = 2;
constexpr int hexadecimal = 16;

} // namespace

std::string to_hex(const key_digest& digest)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(key_digest::size * digits_per_byte);
    for (const std::uint8_t byte : digest.bytes) {
        text += digits[byte / hexadecimal];
        text += digits[byte % hexadecimal];
    }
    return text;
}

std::optional<key_digest> parse_key_digest(std::string_view text)
{
    if (text.size() != key_digest::size * digits_per_byte) {
        return std::nullopt;
    }
    key_digest digest;
    for (std::size_t place = 0; place < key_digest::size; ++place) {
        const std::string_view digits = text.substr(place * digits_per_byte, digits_per_byte);
        const char* const end = digits.data() + digits.size();
        const auto [stop, problem] =
            std::from_chars(digits.data(), end, digest.bytes[place], hexadecimal);
        if (problem != std::errc{} || stop != end) {
            return std::nullopt;
        }
    }
    return digest;
}

} // namespace gypsumstep::accounts
