/// \file
/// Where a daemon listens for gossip.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace gypsumstep::membership {

/// An IPv4 number and a port, both in host byte order.
struct endpoint {
    std::uint32_t ip{0};
    std::uint16_t port{0};

    friend constexpr auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// "A.B.C.D:PORT".
[[nodiscard]] std::string to_string(const endpoint& value);

/// Reads what to_string() wrote; nothing if \p text is malformed.
[[nodiscard]] std::optional<endpoint> parse_endpoint(std::string_view text);

/// Both parts in one number: the IP number, then the port.
[[nodiscard]] constexpr std::uint64_t to_integer(const endpoint& value)
{
    return (std::uint64_t{value.ip} << 16U) | value.port;
}

} // namespace gypsumstep::membership

template <>
struct std::hash<gypsumstep::membership::endpoint> {
    std::size_t operator()(const gypsumstep::membership::endpoint& value) const noexcept
    {
        return std::hash<std::uint64_t>{}(to_integer(value));
    }
};
