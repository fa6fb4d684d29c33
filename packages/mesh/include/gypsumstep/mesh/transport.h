/// \file
/// Frames between daemons. Plain C++17, so that the websocket source can include it.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace gypsumstep::mesh {

/// The address on which a daemon listens for its peers; it names the daemon.
struct peer_address {
    std::string host; ///< IP number
    std::uint16_t port{0};

    friend bool operator==(const peer_address& left, const peer_address& right)
    {
        return std::tie(left.host, left.port) == std::tie(right.host, right.port);
    }
    friend bool operator<(const peer_address& left, const peer_address& right)
    {
        return std::tie(left.host, left.port) < std::tie(right.host, right.port);
    }
};

/// Whether frames can reach a peer at once.
enum class peer_state {
    connected,    ///< both sides proved that they hold a shared key
    disconnected, ///< the last connection ended, or an attempt failed
};

/// What became of a frame at send(); neither says that it arrives.
enum class send_result {
    queued,
    refused, ///< not sent: queue full, frame too large, or not listening yet
};

/// Keys, bounds and times of a transport.
struct transport_options {
    /// Shared secrets. The first one signs, each one is accepted, so that a key is
    /// replaced by adding the new one everywhere, then putting it first, then
    /// dropping the old one.
    std::vector<std::string> keys;
    std::size_t message_limit{4U << 20U};              ///< bytes of one frame
    std::size_t queue_limit{1U << 20U};                ///< bytes waiting for one peer
    std::size_t connection_limit{4096};                ///< connections of both directions
    std::chrono::milliseconds queue_age{1'000};        ///< frames to an unreachable peer
    std::chrono::milliseconds handshake_timeout{3000}; ///< from TCP to authenticated
    std::chrono::milliseconds reconnect_first{100};    ///< bound of the first wait
    std::chrono::milliseconds reconnect_most{5'000};   ///< bound of every wait
    std::chrono::milliseconds keepalive{10'000};       ///< silence before a ping
    std::chrono::milliseconds idle_close{120'000};     ///< without frames
    std::uint64_t seed{1};                             ///< of the jitter
};

/// Totals since the start.
struct transport_counters {
    std::uint64_t frames_sent{0};
    std::uint64_t frames_received{0};
    std::uint64_t bytes_sent{0}; ///< of frames, without headers
    std::uint64_t bytes_received{0};
    std::uint64_t frames_refused{0};
    std::uint64_t frames_dropped{0};       ///< queued for a peer that could not be reached
    std::uint64_t connections_rejected{0}; ///< malformed or not authenticated
};

/// Called on the transport's thread; must return quickly and may call send().
struct transport_handlers {
    std::function<void(const peer_address&, std::string)> on_frame;
    std::function<void(const peer_address&, peer_state)> on_peer_state;
};

/// Exchanges frames with other daemons over websockets; owns one thread.
///
/// Frames to one peer arrive in order while a connection lasts, each at most
/// once; a frame may be lost with its connection, so requests need a deadline.
/// A connection is opened by the first frame and serves both directions. What a
/// peer sends wrongly costs that peer its connection and nothing else.
class transport {
public:
    transport(transport_options options, transport_handlers handlers);
    /// Closes all connections and joins the thread; frames still queued are dropped.
    ~transport();
    transport(const transport&) = delete;
    transport& operator=(const transport&) = delete;

    /// Listens on an IP number; \p port 0 chooses a free one. Call once, before send().
    /// Returns the port, or 0 if the address cannot be used.
    [[nodiscard]] std::uint16_t listen(const std::string& address, std::uint16_t port);

    /// Queues a frame for a peer and connects to it as needed. Callable from any thread.
    [[nodiscard]] send_result send(const peer_address& peer, std::string frame);

    [[nodiscard]] transport_counters counters() const;

private:
    class core;
    std::unique_ptr<core> m_core;
};

} // namespace gypsumstep::mesh
