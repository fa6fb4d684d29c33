/// \file
/// The transport's thread: connections, peers and their queues. Plain C++17.
#pragma once

#include "gypsumstep/mesh/detail/handshake.h"
#include "gypsumstep/mesh/transport.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <thread>

namespace gypsumstep::mesh {

/// Everything but the mutex-guarded inbox belongs to the transport's own thread.
class transport::core {
public:
    core(transport_options options, transport_handlers handlers);
    ~core();
    core(const core&) = delete;
    core& operator=(const core&) = delete;

    std::uint16_t listen(const std::string& address, std::uint16_t port);
    send_result send(const peer_address& address, std::string frame);
    [[nodiscard]] transport_counters counters() const;

private:
    using config = websocketpp::config::asio_client;
    using server_endpoint = websocketpp::server<config>;
    using client_endpoint = websocketpp::client<config>;
    using connection_ptr = websocketpp::connection<config>::ptr;
    using handle = websocketpp::connection_hdl;
    using clock = std::chrono::steady_clock;

    enum class stage {
        connecting,
        sent_hello,
        awaiting_hello,
        sent_challenge,
        sent_response,
        open
    };

    /// One connection, from its start to its end.
    struct link {
        connection_ptr connection;
        bool outgoing{false};
        stage progress{stage::connecting};
        detail::handshake_facts facts;
        clock::time_point handshake_end;
        clock::time_point last_received; ///< anything, pongs included
        clock::time_point last_ping;
        clock::time_point last_frame; ///< in either direction
    };

    struct queued_frame {
        std::string bytes;
        clock::time_point since;
    };

    /// What is known of one peer.
    struct peer {
        std::deque<queued_frame> queue;
        std::vector<handle> links; ///< authenticated ones
        bool connecting{false};
        std::uint32_t failures{0};
        clock::time_point not_before; ///< of the next attempt
    };

    using link_map = std::map<handle, link, std::owner_less<handle>>;

    template <class Endpoint>
    void prepare(Endpoint& endpoint);

    // connections
    void on_open(const handle& id);
    void on_message(const handle& id, const std::string& payload, bool binary);
    void on_end(const handle& id);
    void on_pong(const handle& id);
    bool accepts();
    void connect(const peer_address& address, peer& target);
    void reject(const handle& id);
    void close(const handle& id);
    void forget(const handle& id);
    bool transmit(link& at, const std::string& payload);

    // handshake
    bool advance(const handle& id, link& at, const std::string& payload);
    bool receive_hello(link& at, const std::string& payload);
    bool receive_challenge(link& at, const std::string& payload);
    bool receive_response(const handle& id, link& at, const std::string& payload);
    void opened(const handle& id, link& at);
    [[nodiscard]] const peer_address& other_side(const link& at) const;

    // queues
    void drain_inbox();
    void pump(const peer_address& address, peer& target);
    void pump_later();
    void release(const peer_address& address, std::size_t size);
    [[nodiscard]] link* choose_link(const peer& target);
    void attempt_failed(const peer_address& address);
    void drop_old_frames(const peer_address& address, peer& target);

    // periodic work
    void schedule_tick();
    void tick();
    void tick_links();
    void tick_peers();
    void shut_down();

    transport_options m_options;
    transport_handlers m_handlers;
    peer_address m_self;
    std::mt19937_64 m_random;

    boost::asio::io_context m_io;
    std::optional<boost::asio::executor_work_guard<boost::asio::io_context::executor_type>> m_work;
    server_endpoint m_server;
    client_endpoint m_client;
    boost::asio::steady_timer m_tick_timer;
    boost::asio::steady_timer m_pump_timer;
    bool m_pump_pending{false};
    bool m_stopping{false};
    link_map m_links;
    std::map<peer_address, peer> m_peers;

    std::atomic<bool> m_listening{false};
    std::mutex m_mutex; ///< guards the next two
    std::vector<std::pair<peer_address, std::string>> m_inbox;
    std::map<peer_address, std::size_t> m_waiting_bytes;

    struct atomic_counters {
        std::atomic<std::uint64_t> frames_sent{0};
        std::atomic<std::uint64_t> frames_received{0};
        std::atomic<std::uint64_t> bytes_sent{0};
        std::atomic<std::uint64_t> bytes_received{0};
        std::atomic<std::uint64_t> frames_refused{0};
        std::atomic<std::uint64_t> frames_dropped{0};
        std::atomic<std::uint64_t> connections_rejected{0};
    };
    atomic_counters m_counters;

    std::thread m_thread; // last: it uses the members above
};

} // namespace gypsumstep::mesh
