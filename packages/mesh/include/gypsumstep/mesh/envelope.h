/// \file
/// The typed outside of every frame between daemons, in CBOR.
#pragma once

#include "gypsumstep/base/error.h"
#include "gypsumstep/base/ids.h"

#include <cstdint>
#include <string>

namespace gypsumstep::mesh {

/// Which duty of the receiver a message is for. Numbers go over the wire: only add.
enum class message_kind : std::uint8_t {
    membership = 1,    ///< gossip between daemons
    configuration = 2, ///< versions, deltas and snapshots of the configuration
    statement = 3,     ///< an entry daemon's request to a home
    reply = 4,         ///< the answer to the request of the same id
    home = 5,          ///< state of homes and their server pools
    failover = 6,      ///< suspicion, grants and promotions
    control = 7,       ///< orders and questions of operators
};

/// A message with the id that joins a request and its reply.
struct envelope {
    request_id id; ///< chosen by the sender of the request
    message_kind kind{message_kind::membership};
    std::string body; ///< in the form that the kind defines

    friend bool operator==(const envelope&, const envelope&) = default;
};

/// The envelope as a frame.
[[nodiscard]] std::string encode(const envelope& value);

/// Reads a frame; invalid_argument if it is malformed, unknown or has bytes left over.
[[nodiscard]] result<envelope> decode_envelope(const std::string& frame);

} // namespace gypsumstep::mesh
