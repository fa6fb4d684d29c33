/// \file
/// Digest of a client's key.
#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gypsumstep::accounts {

/// SHA-256 digest of the key with which a client authenticates. Processes hold and exchange only
/// digests, so that a key is in no log, metric or message.
struct key_digest {
    static constexpr std::size_t size = 32;

    std::array<std::uint8_t, size> bytes{};

    friend auto operator<=>(const key_digest&, const key_digest&) = default;
};

/// Returns the digest as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string to_hex(const key_digest& digest);

/// Parses 64 hexadecimal digits; nothing if the text is anything else.
[[nodiscard]] std::optional<key_digest> parse_key_digest(std::string_view text);

} // namespace gypsumstep::accounts
