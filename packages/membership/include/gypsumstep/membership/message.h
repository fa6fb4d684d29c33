/// \file
/// Messages between daemons. Each fits into one datagram.
#pragma once

#include "gypsumstep/membership/member.h"
#include "gypsumstep/membership/payload.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace gypsumstep::membership {

/// Largest encoded message, in bytes, without datagram headers.
inline constexpr std::size_t max_message_bytes = 1'200;

/// IPv4 and UDP headers of one datagram, in bytes.
inline constexpr std::size_t datagram_header_bytes = 28;

/// Number of parts in which member tables are compared.
inline constexpr std::size_t digest_bucket_count = 64;

/// One piece of news: about a member, or a payload.
using rumour = std::variant<member_record, payload>;
using rumours = std::vector<rumour>;

/// Asks for an ack.
struct ping {
    std::uint32_t sequence{0};
    std::uint32_t digest{0}; ///< of the sender's table, to notice lost rumours
    rumours news;

    friend bool operator==(const ping&, const ping&) = default;
};

/// Answers a ping of the same sequence.
struct ack {
    std::uint32_t sequence{0};
    std::uint32_t digest{0};
    rumours news;

    friend bool operator==(const ack&, const ack&) = default;
};

/// Asks the receiver to ping \p target and to send an indirect_ack if it answers.
struct ping_request {
    std::uint32_t sequence{0};
    endpoint target;

    friend bool operator==(const ping_request&, const ping_request&) = default;
};

/// Says that the target of the ping_request of this sequence has answered.
struct indirect_ack {
    std::uint32_t sequence{0};

    friend bool operator==(const indirect_ack&, const indirect_ack&) = default;
};

/// News without a question.
struct gossip {
    rumours news;

    friend bool operator==(const gossip&, const gossip&) = default;
};

/// The parts of a snapshot in the order in which they are sent.
enum class snapshot_stage : std::uint8_t {
    own_domain = 0,    ///< members of the requester's failure domain
    other_domains = 1, ///< all other members
    payloads = 2,
    complete = 3,
};

/// How far a snapshot has come. The daemon that serves it keeps no state for it.
struct snapshot_cursor {
    snapshot_stage stage{snapshot_stage::own_domain};
    endpoint after;        ///< last member sent in this stage
    std::string after_key; ///< last payload sent

    friend bool operator==(const snapshot_cursor&, const snapshot_cursor&) = default;
};

/// Announces the sender and asks for the part of the table after the cursor.
struct snapshot_request {
    member_record self;
    snapshot_cursor cursor;

    friend bool operator==(const snapshot_request&, const snapshot_request&) = default;
};

/// One part of a snapshot; \p next is the cursor for the following request.
struct snapshot_chunk {
    snapshot_cursor next;
    rumours news;

    friend bool operator==(const snapshot_chunk&, const snapshot_chunk&) = default;
};

/// Asks for the records in the parts of the table that differ from the sender's.
struct sync_request {
    std::array<std::uint32_t, digest_bucket_count> buckets{};

    friend bool operator==(const sync_request&, const sync_request&) = default;
};

/// Everything that one daemon sends to another.
using message = std::variant<ping, ack, ping_request, indirect_ack, gossip, snapshot_request,
                             snapshot_chunk, sync_request>;

/// Length of a rumour in CBOR, in bytes.
[[nodiscard]] std::size_t encoded_size(const rumour& value);

/// Length of a message in CBOR, in bytes, without datagram headers.
///
/// The encoding is an array per structure, its fields in the order declared, and
/// the index in the variant in front.
[[nodiscard]] std::size_t encoded_size(const message& value);

} // namespace gypsumstep::membership
