#include "line_logger.h"

#include <algorithm>
#include <climits>

#include <poll.h>
#include <unistd.h>

namespace gypsumstep::edge {
namespace {

/// Largest size of the lines buffered for a slow reader, in bytes.
constexpr std::size_t max_buffered_bytes = 256U << 10U;

} // namespace

void line_logger::add(std::string_view line)
{
    if (m_buffer.size() + line.size() + 1 > max_buffered_bytes) {
        ++m_dropped;
        return;
    }
    if (m_dropped != m_reported_dropped) {
        m_buffer += R"({"level":"warn","component":"log","message":"dropped lines","total":)" +
                    std::to_string(m_dropped) + "}\n";
        m_reported_dropped = m_dropped;
    }
    m_buffer.append(line);
    m_buffer.push_back('\n');
}

void line_logger::flush()
{
    std::size_t written = 0;
    while (written < m_buffer.size()) {
        pollfd ready{m_descriptor, POLLOUT, 0};
        if (::poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
            break;
        }
        // A pipe that poll() reports as writable takes PIPE_BUF bytes without blocking.
        const std::size_t size = std::min<std::size_t>(m_buffer.size() - written, PIPE_BUF);
        const ssize_t count = ::write(m_descriptor, m_buffer.data() + written, size);
        if (count <= 0) {
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    m_buffer.erase(0, written);
}

} // namespace gypsumstep::edge
