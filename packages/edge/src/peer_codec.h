/// \file
/// Encoding of the messages that daemons send each other, as CBOR.
#pragma once

#include "gypsumstep/base/error.h"
#include "gypsumstep/promotion/peer_message.h"

#include <QByteArray>

namespace gypsumstep::edge {

/// Largest encoded message, in bytes: what one datagram holds.
inline constexpr qsizetype max_peer_message_bytes = 60'000;

[[nodiscard]] QByteArray encode_peer_message(const promotion::peer_message& message);

/// \return error_code::invalid_argument if the bytes hold anything else than one message
[[nodiscard]] result<promotion::peer_message> decode_peer_message(const QByteArray& bytes);

} // namespace gypsumstep::edge
