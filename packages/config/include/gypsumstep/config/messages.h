/// \file
/// Messages about the configuration between daemons, and their CBOR encoding.
#pragma once

#include "gypsumstep/base/time.h"
#include "gypsumstep/config/records.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gypsumstep::config {

/// Gives the sender's version and asks for the receiver's status.
struct announce {
    config_version version;
    std::uint64_t sequence{0}; ///< returned in status::echo

    friend bool operator==(const announce&, const announce&) = default;
};

/// Answers an announce.
struct status {
    config_version version;
    std::uint64_t echo{0};                 ///< sequence number of the announce
    std::optional<duration> confirmed_age; ///< time since the version was known to be the newest

    friend bool operator==(const status&, const status&) = default;
};

/// Changes in the order of their versions, without gaps.
struct deltas {
    std::vector<change_record> changes;

    friend bool operator==(const deltas&, const deltas&) = default;
};

/// A version with its whole document.
struct snapshot {
    head_record head;
    document_ptr document;
};

using message = std::variant<announce, status, deltas, snapshot>;

/// Encodes a message as the body of a frame.
[[nodiscard]] std::string encode(const message& value);

/// Decodes the body of a frame; invalid_argument if it is malformed.
[[nodiscard]] result<message> decode_message(const std::string& body);

} // namespace gypsumstep::config
