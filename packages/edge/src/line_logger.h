/// \file
/// Writes log lines to standard output without ever waiting for its reader.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace gypsumstep::edge {

/// A bounded buffer in front of a descriptor. Lines that do not fit are dropped and counted.
class line_logger {
public:
    explicit line_logger(int descriptor) : m_descriptor{descriptor} {}

    /// Takes a line without its line break.
    void add(std::string_view line);

    /// Writes what the descriptor takes at once.
    void flush();

    [[nodiscard]] std::uint64_t dropped() const { return m_dropped; }
    [[nodiscard]] std::size_t buffered() const { return m_buffer.size(); }

private:
    int m_descriptor;
    std::string m_buffer;
    std::uint64_t m_dropped{0};
    std::uint64_t m_reported_dropped{0};
};

} // namespace gypsumstep::edge
