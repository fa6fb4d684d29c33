// Tests of transports that meet over loopback. Waits are on conditions, with a cap
// that only a defect reaches.
#include "gypsumstep/mesh/transport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <condition_variable>
#include <map>
#include <mutex>

using namespace gypsumstep::mesh;

namespace {

constexpr std::chrono::seconds wait_cap{30};
const std::string loopback = "127.0.0.1";

/// A transport that records what it receives.
class node {
public:
    explicit node(transport_options options, std::uint16_t port = 0)
        : m_transport{std::move(options),
                      {[this](const peer_address& from, std::string frame) {
                           const std::lock_guard lock{m_mutex};
                           m_frames[from].push_back(std::move(frame));
                           m_changed.notify_all();
                       },
                       [this](const peer_address& peer, peer_state state) {
                           const std::lock_guard lock{m_mutex};
                           m_states[peer].push_back(state);
                           m_changed.notify_all();
                       }}},
          m_address{loopback, m_transport.listen(loopback, port)}
    {
        REQUIRE(m_address.port != 0);
    }

    [[nodiscard]] const peer_address& address() const { return m_address; }
    [[nodiscard]] transport& link() { return m_transport; }

    [[nodiscard]] std::vector<std::string> frames(const peer_address& from, std::size_t count)
    {
        std::unique_lock lock{m_mutex};
        m_changed.wait_for(lock, wait_cap, [&] { return m_frames[from].size() >= count; });
        return m_frames[from];
    }

    [[nodiscard]] bool saw(const peer_address& peer, peer_state state)
    {
        std::unique_lock lock{m_mutex};
        return m_changed.wait_for(lock, wait_cap, [&] {
            const auto& seen = m_states[peer];
            return std::find(seen.begin(), seen.end(), state) != seen.end();
        });
    }

    /// Waits until \p reached holds for the counters.
    template <class Condition>
    [[nodiscard]] bool counted(Condition reached)
    {
        const auto end = std::chrono::steady_clock::now() + wait_cap;
        while (!reached(m_transport.counters()) && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(std::chrono::milliseconds{1});
        }
        return reached(m_transport.counters());
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<peer_address, std::vector<std::string>> m_frames;
    std::map<peer_address, std::vector<peer_state>> m_states;
    transport m_transport;
    peer_address m_address;
};

transport_options with_keys(std::vector<std::string> keys)
{
    transport_options options;
    options.keys = std::move(keys);
    options.queue_age = wait_cap;
    options.reconnect_first = std::chrono::milliseconds{1};
    options.reconnect_most = std::chrono::milliseconds{20};
    return options;
}

/// A port that was free a moment ago.
std::uint16_t free_port()
{
    boost::asio::io_context io;
    const boost::asio::ip::tcp::acceptor acceptor{io, {boost::asio::ip::make_address(loopback), 0}};
    return acceptor.local_endpoint().port();
}

} // namespace

TEST_CASE("frames arrive whole and in order, and replies use the same connection")
{
    node first{with_keys({"k"})};
    node second{with_keys({"k"})};
    std::vector<std::string> sent;
    for (int i = 0; i < 500; ++i) {
        sent.push_back(std::string(static_cast<std::size_t>(i), '\0') + std::to_string(i));
        REQUIRE(first.link().send(second.address(), sent.back()) == send_result::queued);
    }
    CHECK(second.frames(first.address(), sent.size()) == sent);
    REQUIRE(second.link().send(first.address(), "reply") == send_result::queued);
    CHECK(first.frames(second.address(), 1) == std::vector<std::string>{"reply"});
    CHECK(first.saw(second.address(), peer_state::connected));
    CHECK(first.link().counters().frames_sent == 500);
    CHECK(second.link().counters().frames_received == 500);
}

TEST_CASE("keys can be replaced while both are valid, and a wrong one is refused")
{
    node old_first{with_keys({"old", "new"})};
    node new_first{with_keys({"new", "old"})};
    node stranger{with_keys({"other"})};
    REQUIRE(old_first.link().send(new_first.address(), "a") == send_result::queued);
    REQUIRE(new_first.link().send(old_first.address(), "b") == send_result::queued);
    REQUIRE(stranger.link().send(old_first.address(), "c") == send_result::queued);
    CHECK(new_first.frames(old_first.address(), 1) == std::vector<std::string>{"a"});
    CHECK(old_first.frames(new_first.address(), 1) == std::vector<std::string>{"b"});
    CHECK(stranger.saw(old_first.address(), peer_state::disconnected));
    CHECK(stranger.link().counters().frames_sent == 0);
    CHECK(old_first.frames(stranger.address(), 0).empty());
}

TEST_CASE("a peer that starts later or restarts is reached again")
{
    node first{with_keys({"k"})};
    const peer_address later{loopback, free_port()};
    REQUIRE(first.link().send(later, "early") == send_result::queued);
    REQUIRE(first.saw(later, peer_state::disconnected));
    {
        node second{with_keys({"k"}), later.port};
        CHECK(second.frames(first.address(), 1) == std::vector<std::string>{"early"});
        REQUIRE(first.saw(later, peer_state::connected));
    }
    node again{with_keys({"k"}), later.port};
    // A frame may be lost with the old connection, so send until one arrives.
    while (again.link().counters().frames_received == 0) {
        REQUIRE(first.link().send(later, "again") == send_result::queued);
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
    CHECK(again.frames(first.address(), 1).front() == "again");
}

TEST_CASE("a full queue refuses, and frames to an unreachable peer are dropped with age")
{
    auto options = with_keys({"k"});
    options.queue_limit = 100;
    options.queue_age = std::chrono::milliseconds{1};
    node first{options};
    const peer_address nobody{loopback, free_port()};
    CHECK(first.link().send(nobody, std::string(101, 'x')) == send_result::refused);
    CHECK(first.link().send(nobody, std::string(100, 'x')) == send_result::queued);
    CHECK(first.counted([](const auto& totals) { return totals.frames_dropped == 1; }));
    CHECK(first.link().send(nobody, std::string(100, 'x')) == send_result::queued);
}

TEST_CASE("malformed, oversized or silent input costs only its own connection")
{
    auto options = with_keys({"k"});
    options.handshake_timeout = std::chrono::milliseconds{50};
    node first{options};
    node second{with_keys({"k"})};
    REQUIRE(second.link().send(first.address(), "a") == send_result::queued);
    REQUIRE(first.frames(second.address(), 1).size() == 1);

    const std::string upgrade = "GET /mesh HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\n"
                                "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                                "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
    const std::string masked_text{"\x81\x81\0\0\0\0x", 7};
    const std::string masked_binary{"\x82\x81\0\0\0\0x", 7};
    const std::string oversized{"\x82\xfe\x7f\xff\0\0\0\0", 8};
    for (const std::string& input :
         {std::string{"nonsense\r\n\r\n"}, upgrade, upgrade + masked_text, upgrade + masked_binary,
          upgrade + oversized, upgrade + std::string(64, '\xff'), std::string{}}) {
        boost::asio::io_context io;
        boost::asio::ip::tcp::socket socket{io};
        socket.connect({boost::asio::ip::make_address(loopback), first.address().port});
        boost::system::error_code status;
        boost::asio::write(socket, boost::asio::buffer(input), status);
        std::array<char, 1024> answer{};
        while (!status) { // the transport closes it, or the read would never end
            socket.read_some(boost::asio::buffer(answer), status);
        }
    }
    REQUIRE(second.link().send(first.address(), "b") == send_result::queued);
    CHECK(first.frames(second.address(), 2) == std::vector<std::string>{"a", "b"});
    CHECK(first.link().counters().connections_rejected >= 2);
}

TEST_CASE("a slow receiver fills the queue of its own peer only")
{
    node fast{with_keys({"k"})};
    std::mutex gate;
    std::unique_lock closed{gate};
    transport slow{
        with_keys({"k"}),
        {[&gate](const peer_address&, const std::string&) { const std::lock_guard pass{gate}; },
         [](const peer_address&, peer_state) {}}};
    const peer_address slow_address{loopback, slow.listen(loopback, 0)};
    node sender{with_keys({"k"})};
    const std::string frame(100'000, 'x');
    std::size_t queued = 0;
    constexpr std::size_t most_frames = 10'000; // 1 GB, far beyond all buffers
    while (queued < most_frames && sender.link().send(slow_address, frame) == send_result::queued) {
        ++queued;
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
    CHECK(queued < most_frames);
    REQUIRE(sender.link().send(fast.address(), "past") == send_result::queued);
    CHECK(fast.frames(sender.address(), 1) == std::vector<std::string>{"past"});
    closed.unlock();
    while (slow.counters().frames_received < queued) {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
    CHECK(slow.counters().frames_received == queued);
}
