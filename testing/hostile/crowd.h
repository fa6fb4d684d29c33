/// \file
/// A crowd of clients that send the same bytes and may not read what they are sent.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace gypsumstep::hostile {

/// How a crowd behaves.
struct behaviour {
    std::string bytes;                  ///< sent by each client
    std::size_t piece{64UL << 10};      ///< bytes that a client sends in one turn
    std::chrono::milliseconds pause{0}; ///< between two turns of all clients
    std::size_t read_bytes{0};          ///< read by a client in one turn; 0 for none
    int receive_buffer{0}; ///< size of the kernel's buffer, in bytes; 0 for the default
};

/// Plain non-blocking sockets that take turns, one thread. The Qt event loop runs between turns,
/// for the stand-ins of the same process.
class crowd {
public:
    /// Starts to connect \p count clients to a port of the loopback interface.
    crowd(std::uint16_t port, std::size_t count, behaviour chosen);
    ~crowd();
    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;

    /// Takes turns until no client has made progress for a second, or \p longest has passed.
    void run(std::chrono::milliseconds longest);

    /// Closes all connections.
    void leave();

    /// Clients whose connection the other side has not been seen to close.
    [[nodiscard]] std::size_t connected() const;

private:
    struct client {
        int socket{-1};
        std::size_t sent{0};
    };

    /// Lets every client send and read once; true if one made progress.
    bool take_turn();
    bool send_piece(client& sender) const;
    bool read_some(client& reader) const;
    static void close(client& closed);

    behaviour m_behaviour;
    std::vector<client> m_clients;
};

/// Runs the Qt event loop for \p time.
void run_event_loop(std::chrono::milliseconds time);

/// Sends \p request on a connection of its own until the answer contains \p expected. Each attempt
/// may take \p attempt, all together \p longest.
[[nodiscard]] bool is_answered(std::uint16_t port, const std::string& request,
                               const std::string& expected, std::chrono::milliseconds attempt,
                               std::chrono::milliseconds longest);

} // namespace gypsumstep::hostile
