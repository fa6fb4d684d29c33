/// \file
/// Writes log lines to a descriptor without ever blocking on its reader.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace gypsumstep::edge {

/// Buffers lines up to a fixed size. Lines that do not fit are dropped and counted.
class line_logger {
public:
    explicit line_logger(int descriptor) : m_descriptor{descriptor} {}

    /// Adds a line, given without its line break.
    void add(std::string_view line);

    /// Writes as much as the descriptor accepts without blocking.
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
