#include "session_forwarder.h"

#include "boot_clock.h"
#include "socket_options.h"

#include "gypsumstep/logging/logging.h"
#include "gypsumstep/proxy/options.h"

#include <QHostAddress>

#include <utility>

namespace gypsumstep::edge {
namespace {

/// Time for a home to accept a session; a round trip and its start.
constexpr duration start_limit = 600ms;

/// A home that has not answered this long after a statement's own time-out is lost.
constexpr duration answer_slack = 1s;

/// A home that lost power is noticed before a statement's usual time-out.
constexpr liveness home_liveness{1, 1, 2, 2500};

const logging::logger& log()
{
    static const logging::logger instance{"forwarder"};
    return instance;
}

} // namespace

session_forwarder::session_forwarder(client_listener& clients, homes::home_table& homes,
                                     std::uint64_t seed)
    : m_clients{clients}, m_homes{homes}, m_random{seed}, m_turn{m_random.below(UINT32_MAX)}
{
}

void session_forwarder::begin(session_id id, request wanted)
{
    auto added = std::make_unique<forwarded>();
    added->order =
        m_homes.forwarding_order(wanted.service, wanted.max_connections, m_turn++, boot_now());
    added->wanted = std::move(wanted);
    m_sessions.emplace(id, std::move(added));
    m_clients.divert(id, [this, id](const std::string& line) { on_client_line(id, line); });
    try_next_home(id);
}

void session_forwarder::try_next_home(session_id id)
{
    forwarded& of = *m_sessions.at(id);
    if (of.next_home >= of.order.size()) {
        log().warn("refused a session: no home took it",
                   {{"service", of.wanted.service},
                    {"homes", static_cast<std::uint64_t>(of.order.size())}});
        statement::answer content;
        content.error = statement::error_class::busy;
        content.error_text = "no daemon that serves the database was reached; retry";
        m_clients.send_start_answer(id, content);
        end(id);
        return;
    }
    const homes::daemon_entry home = of.order[of.next_home++];
    of.home = home.name;
    of.connect_limit = boot_now() + start_limit;
    of.socket = new QTcpSocket{this};
    of.splitter = {};
    QTcpSocket* const socket = of.socket;
    const std::string start = adapter::encode_forwarded_start(of.wanted.start);
    connect(socket, &QTcpSocket::connected, this, [socket, start] {
        set_options(*socket, home_liveness);
        socket->write(start.data(), static_cast<qint64>(start.size()));
        socket->flush();
    });
    connect(socket, &QTcpSocket::readyRead, this, [this, id] { read(id); });
    connect(socket, &QTcpSocket::errorOccurred, this, [this, id, socket] {
        read(id);
        if (m_sessions.contains(id) && m_sessions.at(id)->socket == socket) {
            home_failed(id, socket->errorString().toStdString());
        }
    });
    socket->connectToHost(QHostAddress{QString::fromStdString(home.host)}, home.port);
}

void session_forwarder::on_client_line(session_id id, const std::string& line)
{
    const auto found = m_sessions.find(id);
    if (found == m_sessions.end()) {
        return;
    }
    forwarded& of = *found->second;
    const auto message = adapter::decode_client_line(line);
    if (message.has_error() || std::holds_alternative<adapter::start_message>(message.value()) ||
        !of.started) {
        log().warn("closed a client's connection",
                   {{"session", id.value()}, {"cause", "a line that is not allowed here"}});
        end(id);
        return;
    }
    if (std::holds_alternative<adapter::quit_message>(message.value())) {
        end(id);
        return;
    }
    of.tracked.on_statement(std::get<adapter::statement_message>(message.value()).request,
                            boot_now());
    const std::string bytes = line + "\r\n";
    of.socket->write(bytes.data(), static_cast<qint64>(bytes.size()));
    of.socket->flush();
}

void session_forwarder::read(session_id id)
{
    auto found = m_sessions.find(id);
    if (found == m_sessions.end() || found->second->socket == nullptr) {
        return;
    }
    const QByteArray bytes = found->second->socket->readAll();
    found->second->splitter.feed({bytes.data(), static_cast<std::size_t>(bytes.size())});
    std::string passed;
    bool ended = false;
    while (!ended) {
        const auto line = found->second->splitter.next();
        if (line.has_error() || !line.value()) {
            break;
        }
        ended = on_home_line(id, *found->second, *line.value());
        if (!ended) {
            passed += *line.value() + "\r\n";
        }
    }
    if (!ended && !passed.empty()) {
        m_clients.write(id, passed);
    }
}

bool session_forwarder::on_home_line(session_id id, forwarded& of, const std::string& line)
{
    const auto state = adapter::final_state(line);
    if (of.started) {
        if (state) {
            of.tracked.on_answer(*state);
        }
        return false;
    }
    if (!state) {
        // This home does not serve the database now; another one may.
        home_failed(id, line);
        return true;
    }
    of.started = true;
    m_homes.mark_reachable(of.home);
    return false;
}

void session_forwarder::home_failed(session_id id, const std::string& cause)
{
    forwarded& of = *m_sessions.at(id);
    drop_socket(of);
    log().warn("lost a session's home", {{"session", id.value()},
                                         {"home", of.home},
                                         {"cause", cause},
                                         {"started", of.started},
                                         {"idle", of.tracked.is_idle()}});
    if (!of.started) {
        m_homes.mark_failed(of.home, boot_now());
        try_next_home(id);
        return;
    }
    if (const auto content = of.tracked.answer_for_lost_home()) {
        m_clients.send_answer(id, *content);
    }
    // The session's values and prepared statements are lost with the home.
    end(id);
}

void session_forwarder::on_client_closed(session_id id)
{
    const auto found = m_sessions.find(id);
    if (found == m_sessions.end()) {
        return;
    }
    drop_socket(*found->second);
    m_sessions.erase(found);
}

void session_forwarder::end(session_id id)
{
    m_clients.close(id);
    on_client_closed(id);
}

void session_forwarder::drop_socket(forwarded& of)
{
    if (of.socket == nullptr) {
        return;
    }
    of.socket->disconnect(this);
    // Ends the session at the home, which rolls back what is open.
    of.socket->disconnectFromHost();
    of.socket->deleteLater();
    of.socket = nullptr;
}

void session_forwarder::on_tick(time_point now)
{
    std::vector<session_id> silent;
    std::vector<session_id> closing;
    for (const auto& [id, each] : m_sessions) {
        const bool overdue = each->started ? each->tracked.oldest_wait(now) >
                                                 each->wanted.statement_timeout + answer_slack
                                           : now >= each->connect_limit;
        if (overdue) {
            silent.push_back(id);
        }
        else if (m_stopping && each->tracked.is_idle() && now >= each->close_at) {
            closing.push_back(id);
        }
    }
    for (const session_id id : silent) {
        home_failed(id, "no answer in time");
    }
    for (const session_id id : closing) {
        end(id);
    }
}

void session_forwarder::begin_shutdown(time_point now)
{
    m_stopping = true;
    for (const auto& [id, each] : m_sessions) {
        each->close_at = now + m_random.between(duration{0}, proxy::session_close_window);
    }
}

} // namespace gypsumstep::edge
