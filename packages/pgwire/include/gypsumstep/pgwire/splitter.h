/// \file
/// Cuts a byte stream into protocol messages.
#pragma once

#include "gypsumstep/base/error.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace gypsumstep::pgwire {

/// One message as it stood in the stream.
struct raw_message {
    char type{0}; ///< 0 for messages of the startup phase, which carry no type
    std::string body;

    friend bool operator==(const raw_message&, const raw_message&) = default;
};

/// Collects bytes and yields whole messages, bounded in size.
class message_splitter {
public:
    /// \param max_message_bytes longest body that is accepted
    explicit message_splitter(std::size_t max_message_bytes) : m_max_bytes{max_message_bytes} {}

    /// Appends received bytes.
    void feed(std::string_view bytes) { m_buffer.append(bytes); }

    /// The next whole message, nothing if more bytes are needed.
    ///
    /// \return error_code::invalid_argument if the length field is out of range;
    ///         the stream cannot be read any further then
    [[nodiscard]] result<std::optional<raw_message>> next();

    /// Bytes of memory in use for what was received and not returned yet; 0 if nothing is left.
    [[nodiscard]] std::size_t held_bytes() const
    {
        return m_buffer.size() == m_read ? 0 : m_buffer.capacity();
    }

    /// Messages carry a type byte from now on.
    void end_startup_phase() { m_startup = false; }

private:
    std::string m_buffer;
    std::size_t m_read{0};
    std::size_t m_max_bytes;
    bool m_startup{true};
};

} // namespace gypsumstep::pgwire
