#include "gypsumstep/pgwire/splitter.h"

#include "gypsumstep/pgwire/bytes.h"

namespace gypsumstep::pgwire {
namespace {

constexpr std::size_t length_bytes = 4;
constexpr std::size_t max_startup_bytes = 16UL * 1024;
constexpr std::size_t compact_above_bytes = 64UL * 1024;

} // namespace

result<std::optional<raw_message>> message_splitter::next()
{
    const std::size_t type_bytes = m_startup ? 0 : 1;
    const std::string_view rest = std::string_view{m_buffer}.substr(m_read);
    if (rest.size() < type_bytes + length_bytes) {
        return std::optional<raw_message>{};
    }
    const auto length = field_reader{rest.substr(type_bytes)}.read_i32();
    const std::size_t limit = m_startup ? max_startup_bytes : m_max_bytes;
    if (length < static_cast<std::int32_t>(length_bytes) ||
        static_cast<std::size_t>(length) > limit + length_bytes) {
        return error{error_code::invalid_argument, "message length out of range"};
    }
    const auto total = type_bytes + static_cast<std::size_t>(length);
    if (rest.size() < total) {
        return std::optional<raw_message>{};
    }
    const char type = m_startup ? '\0' : rest[0];
    const auto head = type_bytes + length_bytes;
    raw_message message{type, std::string{rest.substr(head, total - head)}};
    m_read += total;
    if (m_read == m_buffer.size() || m_read > compact_above_bytes) {
        m_buffer.erase(0, m_read);
        m_read = 0;
        if (m_buffer.capacity() > compact_above_bytes) {
            // An idle session does not keep the memory of a long message.
            m_buffer.shrink_to_fit();
        }
    }
    return std::optional<raw_message>{std::move(message)};
}

} // namespace gypsumstep::pgwire
