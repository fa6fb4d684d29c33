/// \file
/// The wire form of the messages between daemons: CBOR, one message per datagram.
#pragma once

#include "gypsumstep/base/error.h"
#include "gypsumstep/membership/message.h"

#include <cstdint>
#include <span>
#include <vector>

namespace gypsumstep::membership {

/// Writes a message; encoded_size() tells the length.
[[nodiscard]] std::vector<std::uint8_t> encode(const message& value);

/// Reads a message; \c invalid_argument if the bytes are not exactly one message.
[[nodiscard]] result<message> decode(std::span<const std::uint8_t> bytes);

} // namespace gypsumstep::membership
