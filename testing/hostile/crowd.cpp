#include "crowd.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <QHostAddress>
#include <QTcpSocket>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace gypsumstep::hostile {
namespace {

using clock = std::chrono::steady_clock;

/// A crowd has done its work once no client could send or read for this long.
constexpr std::chrono::milliseconds quiet_time{1000};

/// Pause between two attempts at an ordinary request.
constexpr std::chrono::milliseconds attempt_pause{200};

/// Room for the answers to START and to a statement without rows of a set size.
constexpr std::size_t max_read_bytes = 64UL << 10;

int start_connecting(std::uint16_t port, int receive_buffer)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0) {
        // Before connecting, so that the window that is announced is small as well.
        (void)::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (socket >= 0 &&
        ::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 &&
        errno != EINPROGRESS) {
        ::close(socket);
        return -1;
    }
    return socket;
}

bool try_again()
{
    return errno == EAGAIN || errno == EINTR || errno == ENOTCONN;
}

} // namespace

crowd::crowd(std::uint16_t port, std::size_t count, behaviour chosen)
    : m_behaviour{std::move(chosen)}
{
    for (std::size_t index = 0; index < count; ++index) {
        m_clients.push_back({start_connecting(port, m_behaviour.receive_buffer), 0});
    }
}

crowd::~crowd()
{
    leave();
}

void crowd::leave()
{
    std::for_each(m_clients.begin(), m_clients.end(), close);
}

void crowd::close(client& closed)
{
    if (closed.socket >= 0) {
        ::close(closed.socket);
        closed.socket = -1;
    }
}

std::size_t crowd::connected() const
{
    return static_cast<std::size_t>(
        std::count_if(m_clients.begin(), m_clients.end(),
                      [](const client& member) { return member.socket >= 0; }));
}

bool crowd::send_piece(client& sender) const
{
    const std::size_t left = m_behaviour.bytes.size() - sender.sent;
    if (sender.socket < 0 || left == 0) {
        return false;
    }
    const ssize_t count = ::send(sender.socket, m_behaviour.bytes.data() + sender.sent,
                                 std::min(left, m_behaviour.piece), MSG_NOSIGNAL);
    if (count < 0) {
        if (!try_again()) {
            close(sender);
        }
        return false;
    }
    sender.sent += static_cast<std::size_t>(count);
    return count > 0;
}

bool crowd::read_some(client& reader) const
{
    if (reader.socket < 0 || m_behaviour.read_bytes == 0) {
        return false;
    }
    std::array<char, max_read_bytes> buffer{};
    const ssize_t count =
        ::recv(reader.socket, buffer.data(), std::min(buffer.size(), m_behaviour.read_bytes), 0);
    if (count == 0 || (count < 0 && !try_again())) {
        close(reader);
    }
    return count > 0;
}

bool crowd::take_turn()
{
    bool progress = false;
    for (client& member : m_clients) {
        progress = send_piece(member) || progress;
        progress = read_some(member) || progress;
    }
    return progress;
}

void crowd::run(std::chrono::milliseconds longest)
{
    const auto end = clock::now() + longest;
    auto last_progress = clock::now();
    while (clock::now() < end && clock::now() - last_progress < quiet_time + m_behaviour.pause) {
        if (take_turn()) {
            last_progress = clock::now();
        }
        run_event_loop(m_behaviour.pause);
    }
}

void run_event_loop(std::chrono::milliseconds time)
{
    const auto end = clock::now() + time;
    do {
        QCoreApplication::processEvents(QEventLoop::AllEvents, 1);
        if (time.count() > 0) {
            QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents | QEventLoop::AllEvents,
                                            5);
        }
    } while (clock::now() < end);
}

bool is_answered(std::uint16_t port, const std::string& request, const std::string& expected,
                 std::chrono::milliseconds attempt, std::chrono::milliseconds longest)
{
    const auto end = clock::now() + longest;
    while (clock::now() < end) {
        QTcpSocket socket;
        std::string received;
        QObject::connect(&socket, &QTcpSocket::connected, &socket, [&] {
            socket.write(request.data(), static_cast<qint64>(request.size()));
        });
        socket.connectToHost(QHostAddress::LocalHost, port);
        const auto attempt_end = clock::now() + attempt;
        while (clock::now() < attempt_end && socket.state() != QAbstractSocket::UnconnectedState) {
            run_event_loop(std::chrono::milliseconds{5});
            if (socket.isOpen()) {
                received += socket.readAll().toStdString();
            }
            if (received.find(expected) != std::string::npos) {
                return true;
            }
        }
        socket.abort();
        run_event_loop(attempt_pause);
    }
    return false;
}

} // namespace gypsumstep::hostile
