#include "gypsumstep/pgwire/bytes.h"

namespace gypsumstep::pgwire {
namespace {

constexpr unsigned bits_per_byte = 8;

} // namespace

std::uint32_t field_reader::read_unsigned(std::size_t size)
{
    if (!m_ok || m_rest.size() < size) {
        m_ok = false;
        return 0;
    }
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < size; ++i) {
        value = (value << bits_per_byte) | static_cast<std::uint8_t>(m_rest[i]);
    }
    m_rest.remove_prefix(size);
    return value;
}

std::uint8_t field_reader::read_u8()
{
    return static_cast<std::uint8_t>(read_unsigned(1));
}

std::int16_t field_reader::read_i16()
{
    return static_cast<std::int16_t>(read_unsigned(2));
}

std::int32_t field_reader::read_i32()
{
    return static_cast<std::int32_t>(read_unsigned(4));
}

std::string field_reader::read_text()
{
    const auto end = m_rest.find('\0');
    if (!m_ok || end == std::string_view::npos) {
        m_ok = false;
        return {};
    }
    std::string text{m_rest.substr(0, end)};
    m_rest.remove_prefix(end + 1);
    return text;
}

std::string field_reader::read_bytes(std::size_t size)
{
    if (!m_ok || m_rest.size() < size) {
        m_ok = false;
        return {};
    }
    std::string bytes{m_rest.substr(0, size)};
    m_rest.remove_prefix(size);
    return bytes;
}

message_writer::message_writer(char type) : m_length_at{type == 0 ? 0U : 1U}
{
    if (type != 0) {
        m_bytes.push_back(type);
    }
    add_i32(0);
}

message_writer& message_writer::add_u8(std::uint8_t value)
{
    m_bytes.push_back(static_cast<char>(value));
    return *this;
}

message_writer& message_writer::add_i16(std::int16_t value)
{
    const auto bits = static_cast<std::uint16_t>(value);
    add_u8(static_cast<std::uint8_t>(bits >> bits_per_byte));
    return add_u8(static_cast<std::uint8_t>(bits));
}

message_writer& message_writer::add_i32(std::int32_t value)
{
    const auto bits = static_cast<std::uint32_t>(value);
    add_i16(static_cast<std::int16_t>(bits >> (2 * bits_per_byte)));
    return add_i16(static_cast<std::int16_t>(bits));
}

message_writer& message_writer::add_text(std::string_view text)
{
    m_bytes.append(text);
    return add_u8(0);
}

message_writer& message_writer::add_bytes(std::string_view bytes)
{
    m_bytes.append(bytes);
    return *this;
}

std::string message_writer::finish() &&
{
    const auto length = static_cast<std::uint32_t>(m_bytes.size() - m_length_at);
    for (std::size_t i = 0; i < sizeof(length); ++i) {
        const auto shift = bits_per_byte * (sizeof(length) - 1 - i);
        m_bytes[m_length_at + i] = static_cast<char>(length >> shift);
    }
    return std::move(m_bytes);
}

} // namespace gypsumstep::pgwire
