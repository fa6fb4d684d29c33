// A process that is asked to stop ends before it has sent the last answer.
#include "client.h"
#include "fleet.h"

#include "settings_standin.h"

#include <QHostAddress>

#include <algorithm>
#include <csignal>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {
namespace {

/// A row of legal size: a message is at most 1 MiB.
constexpr std::size_t row_bytes = 500'000;

/// Bytes of the answer beyond what the kernel takes at once; below 2 MiB, from which on the daemon
/// closes the connection of a client that does not read.
constexpr std::size_t further_bytes = 1'200'000;

/// Receive buffer and speed of the client's link: 20 Mbit/s.
constexpr int receive_buffer = 16 << 10;
constexpr std::size_t bytes_per_step = 25'000;
constexpr std::chrono::milliseconds step{10};

/// Time that the server works on the read, and the time from the read to the signal.
constexpr std::chrono::milliseconds work_time{2400};
constexpr std::chrono::milliseconds signal_after_read{200};

/// The time budget of the read.
constexpr std::int64_t time_budget_ms = 12'000;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int small_socket(bool non_blocking)
{
    const int made = ::socket(AF_INET, SOCK_STREAM | (non_blocking ? SOCK_NONBLOCK : 0), 0);
    ::setsockopt(made, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    return made;
}

/// How many bytes the kernel takes from a sender whose peer does not read.
std::size_t bytes_taken_by_kernel()
{
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    ::bind(listener, reinterpret_cast<sockaddr*>(&address), size);
    ::listen(listener, 1);
    ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
    const int peer = small_socket(false);
    ::connect(peer, reinterpret_cast<sockaddr*>(&address), sizeof address);
    const int sender = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
    const std::string piece(64 << 10, 'x');
    std::size_t taken = 0;
    for (int quiet = 0; quiet < 20;) {
        const ssize_t sent = ::send(sender, piece.data(), piece.size(), MSG_NOSIGNAL);
        quiet = sent > 0 ? 0 : quiet + 1;
        taken += sent > 0 ? static_cast<std::size_t>(sent) : 0;
        if (sent <= 0) {
            ::usleep(5000);
        }
    }
    ::close(sender);
    ::close(peer);
    ::close(listener);
    return taken;
}

/// A client on a slow link.
class slow_client {
public:
    explicit slow_client(std::uint16_t port) : m_socket{small_socket(true)}
    {
        sockaddr_in address = loopback(port);
        (void)::connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof address);
    }
    ~slow_client() { ::close(m_socket); }
    slow_client(const slow_client&) = delete;
    slow_client& operator=(const slow_client&) = delete;

    void send(const std::string& line)
    {
        (void)!::send(m_socket, line.data(), line.size(), MSG_NOSIGNAL);
    }

    /// Reads what the link carries in one step; false once the connection has ended.
    bool read()
    {
        std::string piece(bytes_per_step, '\0');
        const ssize_t count = ::recv(m_socket, piece.data(), piece.size(), MSG_DONTWAIT);
        if (count > 0) {
            m_bytes += static_cast<std::size_t>(count);
            m_tail = (m_tail + piece.substr(0, static_cast<std::size_t>(count)));
            m_tail = m_tail.substr(m_tail.size() - std::min<std::size_t>(m_tail.size(), 200));
        }
        return count > 0 || (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
    }

    /// The whole answer was received.
    [[nodiscard]] bool is_complete() const
    {
        const std::size_t end = m_tail.rfind("READY ");
        return end != std::string::npos && m_tail.find("DONE ") != std::string::npos &&
               m_tail.ends_with("\r\n");
    }
    [[nodiscard]] std::size_t bytes() const { return m_bytes; }
    [[nodiscard]] bool is_started() const { return m_tail.starts_with("READY I"); }
    void forget()
    {
        m_tail.clear();
        m_bytes = 0;
    }

private:
    int m_socket;
    std::size_t m_bytes{0};
    std::string m_tail;
};

} // namespace

int run_large_answer(const case_options& options)
{
    record_file record{options.record};
    const std::size_t taken = bytes_taken_by_kernel();
    fleet_options wanted;
    wanted.kind = gypsumstep::adapter::standins::primary_route;
    wanted.timeout_ms = 10'000;
    wanted.group.read_time = work_time;
    wanted.group.row_bytes = row_bytes;
    wanted.group.read_rows = (taken + further_bytes) / row_bytes;
    record.note("the kernel takes " + std::to_string(taken) + " bytes; the answer has " +
                std::to_string(wanted.group.read_rows) + " rows of " + std::to_string(row_bytes));
    fleet deployment{options, wanted, record};
    if (!deployment.await_ready()) {
        return exit_not_run;
    }
    slow_client reader{deployment.client_port(0)};
    wait(std::chrono::milliseconds{100});
    reader.send(std::string{"START "} + fleet::database + "\r\n");
    if (!wait_until(
            [&] {
                (void)reader.read();
                return reader.is_started();
            },
            std::chrono::seconds{2})) {
        record.note("the session was not started");
        return exit_not_run;
    }
    reader.forget();
    const std::int64_t sent_at = record.now_ms();
    record.note("the client sends a read");
    reader.send("QUERY " + client::next_id() + " READ 1a4\r\n");
    wait(signal_after_read);
    if (options.trouble) {
        record.note("SIGTERM to the daemon");
        deployment.signal(0, SIGTERM);
    }
    bool is_open = true;
    while (is_open && !reader.is_complete() && record.now_ms() - sent_at < time_budget_ms) {
        wait(step);
        is_open = reader.read();
    }
    const std::int64_t took = record.now_ms() - sent_at;
    record.note("the client received " + std::to_string(reader.bytes()) + " bytes in " +
                std::to_string(took) + " ms; the answer is " +
                (reader.is_complete() ? "complete"
                 : is_open            ? "not complete in time"
                                      : "not complete and the connection has ended"));
    if (reader.is_complete()) {
        return exit_held;
    }
    record.note("LOST: the connection ended without a complete answer to a read that a server ran");
    return exit_broken;
}

} // namespace review
