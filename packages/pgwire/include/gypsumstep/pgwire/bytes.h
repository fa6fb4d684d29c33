/// \file
/// Big-endian fields of PostgreSQL protocol messages.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace gypsumstep::pgwire {

/// Reads fields one after another; after a short read every further field is empty.
class field_reader {
public:
    explicit field_reader(std::string_view bytes) : m_rest{bytes} {}

    [[nodiscard]] std::uint8_t read_u8();
    [[nodiscard]] std::int16_t read_i16();
    [[nodiscard]] std::int32_t read_i32();

    /// Bytes up to a terminating zero, which is consumed.
    [[nodiscard]] std::string read_text();

    /// Exactly \p size bytes.
    [[nodiscard]] std::string read_bytes(std::size_t size);

    /// Bytes that have not been read yet.
    [[nodiscard]] std::string_view rest() const { return m_rest; }

    /// False once a field did not fit.
    [[nodiscard]] bool ok() const { return m_ok; }

    /// True if everything was read and every field did fit.
    [[nodiscard]] bool complete() const { return m_ok && m_rest.empty(); }

private:
    std::uint32_t read_unsigned(std::size_t size);

    std::string_view m_rest;
    bool m_ok{true};
};

/// Builds one message: type byte, length, fields.
class message_writer {
public:
    /// \param type the message's type byte; 0 for messages without one
    explicit message_writer(char type);

    message_writer& add_u8(std::uint8_t value);
    message_writer& add_i16(std::int16_t value);
    message_writer& add_i32(std::int32_t value);

    /// Adds the text and a terminating zero.
    message_writer& add_text(std::string_view text);

    /// Adds the bytes as they are.
    message_writer& add_bytes(std::string_view bytes);

    /// The finished message with its length filled in.
    [[nodiscard]] std::string finish() &&;

private:
    std::string m_bytes;
    std::size_t m_length_at;
};

} // namespace gypsumstep::pgwire
