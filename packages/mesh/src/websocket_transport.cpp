#include "websocket_core.h"

#include <algorithm>
#include <future>
#include <utility>

namespace gypsumstep::mesh {
namespace {

constexpr auto binary = websocketpp::frame::opcode::binary;
constexpr const char* welcome = "welcome";

std::string to_url(const peer_address& address)
{
    const bool is_ipv6 = address.host.find(':') != std::string::npos;
    const std::string host = is_ipv6 ? "[" + address.host + "]" : address.host;
    return "ws://" + host + ":" + std::to_string(address.port) + "/mesh";
}

} // namespace

transport::transport(transport_options options, transport_handlers handlers)
    : m_core{std::make_unique<core>(std::move(options), std::move(handlers))}
{
}

transport::~transport() = default;

std::uint16_t transport::listen(const std::string& address, std::uint16_t port)
{
    return m_core->listen(address, port);
}

send_result transport::send(const peer_address& peer, std::string frame)
{
    return m_core->send(peer, std::move(frame));
}

transport_counters transport::counters() const
{
    return m_core->counters();
}

transport::core::core(transport_options options, transport_handlers handlers)
    : m_options{std::move(options)}, m_handlers{std::move(handlers)}, m_random{m_options.seed},
      m_work{boost::asio::make_work_guard(m_io)}, m_tick_timer{m_io}, m_pump_timer{m_io}
{
    prepare(m_server);
    prepare(m_client);
    m_server.set_reuse_addr(true);
    m_server.set_validate_handler([this](const handle& /*id*/) { return accepts(); });
    schedule_tick();
    m_thread = std::thread{[this] { m_io.run(); }};
}

transport::core::~core()
{
    boost::asio::post(m_io, [this] { shut_down(); });
    m_thread.join();
}

template <class Endpoint>
void transport::core::prepare(Endpoint& endpoint)
{
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    websocketpp::lib::error_code ignored;
    endpoint.init_asio(&m_io, ignored);
    endpoint.set_open_handshake_timeout(static_cast<long>(m_options.handshake_timeout.count()));
    endpoint.set_max_message_size(detail::handshake_limit);
    endpoint.set_tcp_post_init_handler([&endpoint](const handle& id) {
        websocketpp::lib::error_code status;
        const auto connection = endpoint.get_con_from_hdl(id, status);
        if (connection) {
            boost::system::error_code option_status;
            connection->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay{true},
                                                    option_status);
        }
    });
    endpoint.set_open_handler([this, &endpoint](const handle& id) {
        websocketpp::lib::error_code status;
        auto connection = endpoint.get_con_from_hdl(id, status);
        if (connection) {
            m_links[id].connection = connection;
            on_open(id);
        }
    });
    endpoint.set_message_handler(
        [this](const handle& id, const typename Endpoint::message_ptr& message) {
            on_message(id, message->get_payload(), message->get_opcode() == binary);
        });
    endpoint.set_close_handler([this](const handle& id) { on_end(id); });
    endpoint.set_fail_handler([this](const handle& id) { on_end(id); });
    endpoint.set_pong_handler([this](const handle& id, const std::string&) { on_pong(id); });
    endpoint.set_ping_handler([this](const handle& id, const std::string&) {
        on_pong(id);
        return true;
    });
}

std::uint16_t transport::core::listen(const std::string& address, std::uint16_t port)
{
    std::promise<std::uint16_t> bound;
    boost::asio::post(m_io, [&] {
        boost::system::error_code parse_status;
        const auto number = boost::asio::ip::make_address(address, parse_status);
        websocketpp::lib::error_code status;
        if (!parse_status) {
            m_server.listen({number, port}, status);
        }
        if (parse_status || status) {
            bound.set_value(0);
            return;
        }
        m_server.start_accept(status);
        boost::system::error_code endpoint_status;
        m_self = {address, m_server.get_local_endpoint(endpoint_status).port()};
        m_listening = !status && !endpoint_status;
        bound.set_value(m_listening ? m_self.port : std::uint16_t{0});
    });
    return bound.get_future().get();
}

send_result transport::core::send(const peer_address& address, std::string frame)
{
    bool was_empty = false;
    {
        const std::lock_guard lock{m_mutex};
        const auto found = m_waiting_bytes.find(address);
        const std::size_t waiting = found == m_waiting_bytes.end() ? 0 : found->second;
        if (!m_listening || frame.size() > m_options.message_limit ||
            waiting + frame.size() > m_options.queue_limit) {
            ++m_counters.frames_refused;
            return send_result::refused;
        }
        m_waiting_bytes[address] = waiting + frame.size();
        was_empty = m_inbox.empty();
        m_inbox.emplace_back(address, std::move(frame));
    }
    if (was_empty) {
        boost::asio::post(m_io, [this] { drain_inbox(); });
    }
    return send_result::queued;
}

transport_counters transport::core::counters() const
{
    transport_counters totals;
    totals.frames_sent = m_counters.frames_sent;
    totals.frames_received = m_counters.frames_received;
    totals.bytes_sent = m_counters.bytes_sent;
    totals.bytes_received = m_counters.bytes_received;
    totals.frames_refused = m_counters.frames_refused;
    totals.frames_dropped = m_counters.frames_dropped;
    totals.connections_rejected = m_counters.connections_rejected;
    return totals;
}

bool transport::core::accepts()
{
    return m_links.size() < m_options.connection_limit;
}

void transport::core::connect(const peer_address& address, peer& target)
{
    websocketpp::lib::error_code status;
    const auto connection = m_client.get_connection(to_url(address), status);
    target.connecting = true;
    if (status) {
        attempt_failed(address);
        return;
    }
    link& at = m_links[connection->get_handle()];
    at.connection = connection;
    at.outgoing = true;
    at.facts.connector = m_self;
    at.facts.acceptor = address;
    // The library's own time limits end an attempt that never opens.
    at.handshake_end = clock::time_point::max();
    m_client.connect(connection);
}

void transport::core::on_open(const handle& id)
{
    link& at = m_links[id];
    const auto now = clock::now();
    at.handshake_end = now + m_options.handshake_timeout;
    at.last_received = now;
    at.last_ping = now;
    at.last_frame = now;
    if (!at.outgoing) {
        at.progress = stage::awaiting_hello;
        return;
    }
    at.progress = stage::sent_hello;
    at.facts.connector_nonce = detail::make_nonce();
    transmit(at, detail::encode(detail::hello_message{at.facts.connector_nonce, m_self}));
}

void transport::core::on_message(const handle& id, const std::string& payload, bool is_binary)
{
    const auto found = m_links.find(id);
    if (found == m_links.end()) {
        return;
    }
    link& at = found->second;
    at.last_received = clock::now();
    if (!is_binary) {
        reject(id);
        return;
    }
    if (at.progress != stage::open) {
        if (!advance(id, at, payload)) {
            reject(id);
        }
        return;
    }
    at.last_frame = at.last_received;
    ++m_counters.frames_received;
    m_counters.bytes_received += payload.size();
    const peer_address from = other_side(at);
    m_handlers.on_frame(from, payload);
}

void transport::core::on_end(const handle& id)
{
    forget(id);
}

void transport::core::on_pong(const handle& id)
{
    const auto found = m_links.find(id);
    if (found != m_links.end()) {
        found->second.last_received = clock::now();
    }
}

void transport::core::reject(const handle& id)
{
    ++m_counters.connections_rejected;
    close(id);
}

void transport::core::close(const handle& id)
{
    const auto found = m_links.find(id);
    if (found == m_links.end()) {
        return;
    }
    const connection_ptr connection = found->second.connection;
    forget(id);
    websocketpp::lib::error_code ignored;
    connection->close(websocketpp::close::status::policy_violation, "", ignored);
}

void transport::core::forget(const handle& id)
{
    const auto found = m_links.find(id);
    if (found == m_links.end()) {
        return;
    }
    const bool was_open = found->second.progress == stage::open;
    const bool was_attempt = found->second.outgoing && !was_open;
    const peer_address address = other_side(found->second);
    m_links.erase(found);
    if (was_attempt) {
        attempt_failed(address);
    }
    const auto target = m_peers.find(address);
    if (!was_open || target == m_peers.end()) {
        return;
    }
    auto& links = target->second.links;
    links.erase(std::remove_if(links.begin(), links.end(),
                               [&id](const handle& other) {
                                   return !id.owner_before(other) && !other.owner_before(id);
                               }),
                links.end());
    if (links.empty() && !m_stopping) {
        m_handlers.on_peer_state(address, peer_state::disconnected);
    }
}

bool transport::core::transmit(link& at, const std::string& payload)
{
    return !at.connection->send(payload, binary);
}

bool transport::core::advance(const handle& id, link& at, const std::string& payload)
{
    switch (at.progress) {
    case stage::awaiting_hello:
        return receive_hello(at, payload);
    case stage::sent_hello:
        return receive_challenge(at, payload);
    case stage::sent_challenge:
        return receive_response(id, at, payload);
    case stage::sent_response:
        if (payload != welcome) {
            return false;
        }
        opened(id, at);
        return true;
    case stage::connecting:
    case stage::open:
        break;
    }
    return false;
}

bool transport::core::receive_hello(link& at, const std::string& payload)
{
    const auto hello = detail::decode_hello(payload);
    if (!hello || m_options.keys.empty()) {
        return false;
    }
    at.facts.connector_nonce = hello->nonce;
    at.facts.connector = hello->sender;
    at.facts.acceptor_nonce = detail::make_nonce();
    at.facts.acceptor = m_self;
    at.progress = stage::sent_challenge;
    const auto proof =
        detail::make_proof(m_options.keys.front(), detail::handshake_role::acceptor, at.facts);
    return !at.facts.acceptor_nonce.empty() &&
           transmit(at, detail::encode(
                            detail::challenge_message{at.facts.acceptor_nonce, m_self, proof}));
}

bool transport::core::receive_challenge(link& at, const std::string& payload)
{
    const auto challenge = detail::decode_challenge(payload);
    // Who answers must be the daemon that was called, not another at its address.
    if (!challenge || !(challenge->sender == at.facts.acceptor) || m_options.keys.empty()) {
        return false;
    }
    at.facts.acceptor_nonce = challenge->nonce;
    if (!detail::check_proof(m_options.keys, detail::handshake_role::acceptor, at.facts,
                             challenge->proof)) {
        return false;
    }
    at.progress = stage::sent_response;
    return transmit(at, detail::make_proof(m_options.keys.front(),
                                           detail::handshake_role::connector, at.facts));
}

bool transport::core::receive_response(const handle& id, link& at, const std::string& payload)
{
    if (!detail::check_proof(m_options.keys, detail::handshake_role::connector, at.facts,
                             payload) ||
        !transmit(at, welcome)) {
        return false;
    }
    opened(id, at);
    return true;
}

void transport::core::opened(const handle& id, link& at)
{
    at.progress = stage::open;
    at.connection->set_max_message_size(m_options.message_limit);
    const peer_address address = other_side(at);
    peer& target = m_peers[address];
    target.links.push_back(id);
    target.failures = 0;
    if (at.outgoing) {
        target.connecting = false;
    }
    if (target.links.size() == 1) {
        m_handlers.on_peer_state(address, peer_state::connected);
    }
    pump(address, target);
}

const peer_address& transport::core::other_side(const link& at) const
{
    return at.outgoing ? at.facts.acceptor : at.facts.connector;
}

} // namespace gypsumstep::mesh
