// Queues of the peers and the periodic work of the transport.
#include "websocket_core.h"

#include <algorithm>
#include <utility>

namespace gypsumstep::mesh {
namespace {

constexpr std::chrono::milliseconds tick_period{50};
constexpr std::chrono::milliseconds pump_retry{2};
/// Bytes handed to a connection and not yet written, beyond which frames wait.
constexpr std::size_t write_window = 256U << 10U;
constexpr std::uint32_t most_doublings = 16;

} // namespace

void transport::core::drain_inbox()
{
    std::vector<std::pair<peer_address, std::string>> inbox;
    {
        const std::lock_guard lock{m_mutex};
        inbox.swap(m_inbox);
    }
    const auto now = clock::now();
    for (auto& [address, frame] : inbox) {
        peer& target = m_peers[address];
        target.queue.push_back({std::move(frame), now});
    }
    for (const auto& entry : inbox) {
        pump(entry.first, m_peers[entry.first]);
    }
}

void transport::core::pump(const peer_address& address, peer& target)
{
    if (target.queue.empty() || m_stopping) {
        return;
    }
    link* at = choose_link(target);
    if (at == nullptr) {
        if (!target.connecting && clock::now() >= target.not_before) {
            connect(address, target);
        }
        return;
    }
    while (!target.queue.empty()) {
        if (at->connection->get_buffered_amount() >= write_window) {
            pump_later();
            return;
        }
        const std::string frame = std::move(target.queue.front().bytes);
        target.queue.pop_front();
        release(address, frame.size());
        if (!transmit(*at, frame)) {
            ++m_counters.frames_dropped;
            return;
        }
        at->last_frame = clock::now();
        ++m_counters.frames_sent;
        m_counters.bytes_sent += frame.size();
    }
}

void transport::core::pump_later()
{
    if (m_pump_pending) {
        return;
    }
    m_pump_pending = true;
    m_pump_timer.expires_after(pump_retry);
    m_pump_timer.async_wait([this](const boost::system::error_code& status) {
        m_pump_pending = false;
        if (status) {
            return;
        }
        for (auto& [address, target] : m_peers) {
            pump(address, target);
        }
    });
}

void transport::core::release(const peer_address& address, std::size_t size)
{
    const std::lock_guard lock{m_mutex};
    const auto found = m_waiting_bytes.find(address);
    if (found == m_waiting_bytes.end()) {
        return; // an empty frame
    }
    found->second -= size;
    if (found->second == 0) {
        m_waiting_bytes.erase(found);
    }
}

transport::core::link* transport::core::choose_link(const peer& target)
{
    link* chosen = nullptr;
    for (const auto& id : target.links) {
        const auto found = m_links.find(id);
        if (found == m_links.end()) {
            continue;
        }
        // When both sides connected at once, both prefer the lower address's
        // connection; the other one falls idle and is closed.
        link& at = found->second;
        if (chosen == nullptr || at.facts.connector < chosen->facts.connector) {
            chosen = &at;
        }
    }
    return chosen;
}

void transport::core::attempt_failed(const peer_address& address)
{
    const auto found = m_peers.find(address);
    if (found == m_peers.end() || m_stopping) {
        return;
    }
    peer& target = found->second;
    target.connecting = false;
    const auto doublings = std::min(target.failures, most_doublings);
    ++target.failures;
    const auto bound = std::min<std::chrono::milliseconds>(
        m_options.reconnect_most, m_options.reconnect_first * (1U << doublings));
    std::uniform_int_distribution<std::int64_t> wait(1, std::max<std::int64_t>(1, bound.count()));
    target.not_before = clock::now() + std::chrono::milliseconds{wait(m_random)};
    drop_old_frames(address, target);
    if (target.links.empty()) {
        m_handlers.on_peer_state(address, peer_state::disconnected);
    }
}

void transport::core::drop_old_frames(const peer_address& address, peer& target)
{
    const auto oldest = clock::now() - m_options.queue_age;
    while (!target.queue.empty() && target.queue.front().since < oldest) {
        release(address, target.queue.front().bytes.size());
        target.queue.pop_front();
        ++m_counters.frames_dropped;
    }
}

void transport::core::schedule_tick()
{
    m_tick_timer.expires_after(tick_period);
    m_tick_timer.async_wait([this](const boost::system::error_code& status) {
        if (!status && !m_stopping) {
            tick();
            schedule_tick();
        }
    });
}

void transport::core::tick()
{
    tick_links();
    tick_peers();
}

void transport::core::tick_links()
{
    const auto now = clock::now();
    std::vector<handle> ended;
    for (auto& [id, at] : m_links) {
        const bool open = at.progress == stage::open;
        if (!open) {
            if (now > at.handshake_end) {
                ended.push_back(id);
            }
            continue;
        }
        if (now - at.last_received > 2 * m_options.keepalive ||
            now - at.last_frame > m_options.idle_close) {
            ended.push_back(id);
        }
        else if (now - std::max(at.last_received, at.last_ping) > m_options.keepalive) {
            at.last_ping = now;
            websocketpp::lib::error_code ignored;
            at.connection->ping("", ignored);
        }
    }
    for (const auto& id : ended) {
        close(id);
    }
}

void transport::core::tick_peers()
{
    const auto now = clock::now();
    for (auto entry = m_peers.begin(); entry != m_peers.end();) {
        peer& target = entry->second;
        if (choose_link(target) == nullptr) {
            drop_old_frames(entry->first, target);
        }
        const bool unused = target.queue.empty() && target.links.empty() && !target.connecting &&
                            now > target.not_before + m_options.reconnect_most;
        if (unused) {
            entry = m_peers.erase(entry);
            continue;
        }
        pump(entry->first, target);
        ++entry;
    }
}

void transport::core::shut_down()
{
    m_stopping = true;
    m_tick_timer.cancel();
    m_pump_timer.cancel();
    websocketpp::lib::error_code ignored;
    if (m_listening) {
        m_listening = false;
        m_server.stop_listening(ignored);
    }
    std::vector<connection_ptr> connections;
    for (const auto& entry : m_links) {
        connections.push_back(entry.second.connection);
    }
    m_links.clear();
    for (const auto& connection : connections) {
        connection->terminate(ignored);
    }
    m_work.reset();
}

} // namespace gypsumstep::mesh
