/// \file
/// Small versioned values that spread to every daemon with the gossip.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace gypsumstep::membership {

/// Longest key, in bytes.
inline constexpr std::size_t max_payload_key = 40;

/// Longest body, in bytes.
inline constexpr std::size_t max_payload_body = 300;

/// Keys with this prefix are the gossip's own; they are never published by the shell.
inline constexpr std::string_view link_alert_prefix = "link/";

/// How long a payload is kept once it has spread.
enum class payload_retention : std::uint8_t {
    latest = 0,    ///< the newest version of the key, handed to daemons that join later
    transient = 1, ///< every version of the key, remembered only until it has spread
};

/// An opaque value under a key. A higher version replaces a lower one.
struct payload {
    std::string key; ///< e.g. "config/head" or "primary/17"
    std::uint64_t version{0};
    payload_retention retention{payload_retention::latest};
    std::string body;

    friend bool operator==(const payload&, const payload&) = default;
};

/// True if key and body keep to their length limits.
[[nodiscard]] inline bool is_valid(const payload& value)
{
    return !value.key.empty() && value.key.size() <= max_payload_key &&
           value.body.size() <= max_payload_body;
}

} // namespace gypsumstep::membership
