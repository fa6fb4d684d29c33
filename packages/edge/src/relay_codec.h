/// \file
/// Messages between a daemon that reads the store and those that take its contents from it.
#pragma once

#include "row_changes.h"
#include "store_subject.h"

#include "gypsumstep/adapter/store_calls.h"
#include "gypsumstep/base/error.h"
#include "gypsumstep/base/time.h"
#include "gypsumstep/homes/home_table.h"
#include "gypsumstep/proxy/proxy.h"

#include <QByteArray>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>

namespace gypsumstep::edge {

/// Hashes of the rows that a subscriber has, by subject; 0 for none. See digest_of().
using row_digests = std::array<std::uint64_t, store_subject_count>;

/// Subscribes the sender.
struct relay_hello {
    homes::daemon_entry daemon;         ///< to be announced with the reader's own announcement
    std::optional<row_digests> digests; ///< empty from a daemon that takes whole sets only

    friend bool operator==(const relay_hello&, const relay_hello&) = default;
};

/// Tells how urgently the subscriber needs the servers' registrations. The reader sends none while
/// it needs none.
struct relay_urgency {
    proxy::listing_urgency servers{proxy::listing_urgency::none};

    friend bool operator==(const relay_urgency&, const relay_urgency&) = default;
};

/// Sent by a reader each second.
struct relay_status {
    duration failing_for{0}; ///< how long the reader's calls to the store have failed
    promotion::store_time store_clock{0};
    std::uint64_t era{0}; ///< newest era of the store that the reader knows; 0 if it knows none
    /// How long ago the reader's contents were known to be the newest ones.
    duration confirmed_ago{0};

    friend bool operator==(const relay_status&, const relay_status&) = default;
};

/// All rows of a subject.
struct relay_rows {
    store_subject subject{store_subject::configuration};
    adapter::stored_rows rows;

    friend bool operator==(const relay_rows&, const relay_rows&) = default;
};

/// A subject was read again, with the same contents as those sent before.
struct relay_unchanged {
    store_subject subject{store_subject::configuration};
    adapter::store_moment moment;

    friend bool operator==(const relay_unchanged&, const relay_unchanged&) = default;
};

/// A subject was read again, with other contents than those sent before. The first message about a
/// subject is never this one.
struct relay_changes {
    store_subject subject{store_subject::configuration};
    adapter::store_moment base; ///< of the message about this subject before
    adapter::store_moment moment;
    row_changes changes;     ///< to the rows as of that message
    std::uint64_t digest{0}; ///< of the changed rows

    friend bool operator==(const relay_changes&, const relay_changes&) = default;
};

using relay_message = std::variant<relay_hello, relay_urgency, relay_status, relay_rows,
                                   relay_unchanged, relay_changes>;

/// Largest encoded message, in bytes. A list of 6,000 daemons or servers has half of it.
inline constexpr qsizetype max_relay_message_bytes = 8 << 20;

/// Largest message that a subscriber sends, in bytes: its hello holds the name and the address of
/// one daemon.
inline constexpr qsizetype max_subscriber_message_bytes = 64 << 10;

/// Encodes a message as a length of four bytes, most significant first, and CBOR.
[[nodiscard]] QByteArray encode_relay_message(const relay_message& message);

/// Encodes a message compressed if it is large. Only for a subscriber whose hello has digests:
/// older daemons cannot read it.
[[nodiscard]] QByteArray encode_compressed(const relay_message& message);

/// Decodes messages from a stream of bytes.
class relay_decoder {
public:
    /// \param max_bytes largest message that the peer may send
    explicit relay_decoder(qsizetype max_bytes = max_relay_message_bytes) : m_max_bytes{max_bytes}
    {
    }

    void feed(const QByteArray& bytes) { m_buffer += bytes; }

    /// Returns the next message, or nothing if it is not complete yet.
    /// \return error_code::invalid_argument if the bytes are malformed; the connection is of no use
    ///     then
    [[nodiscard]] result<std::optional<relay_message>> next();

    /// Bytes received and not decoded yet.
    [[nodiscard]] std::size_t held_bytes() const
    {
        return static_cast<std::size_t>(m_buffer.size());
    }

private:
    qsizetype m_max_bytes;
    QByteArray m_buffer;
};

} // namespace gypsumstep::edge
