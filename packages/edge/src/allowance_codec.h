/// \file
/// Encoding of the messages between entry daemons and keepers, as CBOR.
///
/// The messages share a port with those of peer_codec.h, from which their first element tells them
/// apart. They are small, since some of them cross regions and every byte of those is billed.
#pragma once

#include "gypsumstep/allowance/messages.h"
#include "gypsumstep/base/error.h"

#include <QByteArray>

#include <string>

namespace gypsumstep::edge {

/// True if the first element announces a message of this kind. The rest may be malformed.
[[nodiscard]] bool is_allowance_message(const QByteArray& bytes);

[[nodiscard]] QByteArray encode_allowance_message(const allowance::message& message);

/// \return error_code::invalid_argument if the bytes hold anything else than one message
[[nodiscard]] result<allowance::message> decode_allowance_message(const QByteArray& bytes);

/// The daemon that sent a message and may get an answer; nullptr for an answer.
[[nodiscard]] const std::string* sender_of(const allowance::message& message);

} // namespace gypsumstep::edge
