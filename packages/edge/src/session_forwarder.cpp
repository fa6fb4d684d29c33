#include "session_forwarder.h"

#include "boot_clock.h"
#include "socket_options.h"

#include "gypsumstep/logging/logging.h"

#include <QHostAddress>

#include <utility>

namespace gypsumstep::edge {
namespace {

/// Time for a home to accept a session: connecting, one round trip and the session's start.
constexpr duration start_timeout = 600ms;

/// A home counts as lost if it has not answered a statement this long after the statement's
/// own timeout.
constexpr duration answer_margin = 1s;

/// Intervals between ticks. The usual one is short against the timeouts above.
constexpr duration usual_tick_interval = 150ms;
constexpr duration shutdown_tick_interval = 20ms;

/// Short enough that the loss of a home's VM is detected before a statement's usual timeout.
constexpr keepalive_settings home_keepalive{1, 1, 2, 2500};

const logging::logger& log()
{
    static const logging::logger instance{"forwarder"};
    return instance;
}

} // namespace

session_forwarder::session_forwarder(
    client_listener& clients, homes::home_table& homes, std::uint64_t seed,
    std::function<operation_terms(const adapter::start_message&)> terms_of,
    std::function<void(session_id, const adapter::start_message&)> serve_here,
    operation_limits limits)
    : m_clients{clients}, m_homes{homes}, m_random{seed}, m_terms_of{std::move(terms_of)},
      m_serve_here{std::move(serve_here)}, m_limits{std::move(limits)}, m_next_turn{m_random.below(
                                                                            UINT32_MAX)}
{
}

void session_forwarder::forward(session_id id, session_request request)
{
    auto entry = std::make_unique<session_entry>();
    entry->home_order = request.account.name.empty()
                            ? m_homes.forwarding_order(request.service, request.max_connections,
                                                       m_next_turn++, boot_now())
                            : m_homes.account_order(request.service, request.max_connections,
                                                    request.account, m_next_turn++, boot_now());
    entry->request = std::move(request);
    if (m_shutdown) {
        entry->close_time = m_shutdown->close_window_end();
    }
    m_sessions.emplace(id, std::move(entry));
    m_clients.set_line_handler(id,
                               [this, id](const std::string& line) { on_client_line(id, line); });
    try_next_home(id);
}

void session_forwarder::try_next_home(session_id id)
{
    session_entry& session = *m_sessions.at(id);
    if (session.next_home >= session.home_order.size()) {
        log().warn("refused a session: no home accepted it",
                   {{"service", session.request.service},
                    {"homes", static_cast<std::uint64_t>(session.home_order.size())}});
        statement::answer answer;
        answer.error = statement::error_class::busy;
        answer.error_text = "no daemon that serves the database was reached; retry";
        m_clients.send_start_answer(id, answer);
        end_session(id);
        return;
    }
    const homes::daemon_entry home = session.home_order[session.next_home++];
    if (home.name == m_homes.self()) {
        hand_back(id);
        return;
    }
    session.home = home.name;
    session.start_deadline = boot_now() + start_timeout;
    session.socket = new QTcpSocket{this};
    session.splitter = {};
    QTcpSocket* const socket = session.socket;
    const std::string start = adapter::encode_forwarded_start(session.request.start);
    connect(socket, &QTcpSocket::connected, this, [socket, start] {
        set_socket_options(*socket, home_keepalive);
        socket->write(start.data(), static_cast<qint64>(start.size()));
        socket->flush();
    });
    connect(socket, &QTcpSocket::readyRead, this, [this, id] { read_from_home(id); });
    connect(socket, &QTcpSocket::errorOccurred, this, [this, id, socket] {
        read_from_home(id);
        if (m_sessions.contains(id) && m_sessions.at(id)->socket == socket) {
            on_home_failed(id, socket->errorString().toStdString());
        }
    });
    socket->connectToHost(QHostAddress{QString::fromStdString(home.host)}, home.port);
    if (!m_clients.guard().has_room_for_own(*socket)) {
        log().warn("refused a session: no descriptor is left for its home",
                   {{"service", session.request.service}});
        statement::answer answer;
        answer.error = statement::error_class::busy;
        answer.error_text = "too many connections to this daemon; retry";
        m_clients.send_start_answer(id, answer);
        end_session(id);
    }
}

void session_forwarder::hand_back(session_id id)
{
    log().info("serving a session here: the home of its account did not accept it",
               {{"session", id.value()}});
    const adapter::start_message start = m_sessions.at(id)->request.start;
    m_sessions.erase(id);
    m_clients.set_line_handler(id, {});
    m_serve_here(id, start);
}

void session_forwarder::on_client_line(session_id id, const std::string& line)
{
    const auto found = m_sessions.find(id);
    if (found == m_sessions.end()) {
        return;
    }
    session_entry& session = *found->second;
    auto message = adapter::decode_client_line(line, adapter::line_sender::client);
    if (message.has_error() || std::holds_alternative<adapter::start_message>(message.value()) ||
        !session.started) {
        log().warn("closed a client's connection",
                   {{"session", id.value()}, {"cause", "a line that is not allowed here"}});
        end_session(id);
        return;
    }
    if (std::holds_alternative<adapter::quit_message>(message.value())) {
        end_session(id);
        return;
    }
    held_statement received{
        line, std::move(std::get<adapter::statement_message>(message.value()).request)};
    const bool limited =
        m_limits.limited_account && m_limits.limited_account(session.request.start).has_value();
    if (!limited && session.held.empty()) {
        pass_statement(id, received);
        return;
    }
    // Whether a statement starts an operation is known once all earlier ones are answered.
    if (session.held.size() >= max_held_statements) {
        log().warn("closed a client's connection",
                   {{"session", id.value()}, {"cause", "it sent too far ahead"}});
        end_session(id);
        return;
    }
    session.held.push_back(std::move(received));
    release_held(id);
}

void session_forwarder::release_held(session_id id)
{
    for (auto found = m_sessions.find(id);
         found != m_sessions.end() && !found->second->held.empty() &&
         !found->second->awaits_token && !found->second->tracker.is_waiting();
         found = m_sessions.find(id)) {
        session_entry& session = *found->second;
        const auto account = session.tracker.is_idle() &&
                                     statement::starts_operation(session.held.front().request.kind)
                                 ? m_limits.limited_account(session.request.start)
                                 : std::nullopt;
        if (account) {
            session.awaits_token = true;
            m_limits.start(*account, id, [this, id](const std::optional<std::string>& refusal) {
                on_token_decided(id, refusal);
            });
            return;
        }
        const held_statement next = std::move(session.held.front());
        session.held.pop_front();
        pass_statement(id, next);
    }
}

void session_forwarder::on_token_decided(session_id id, const std::optional<std::string>& refusal)
{
    const auto found = m_sessions.find(id);
    if (found == m_sessions.end() || !found->second->awaits_token) {
        return;
    }
    session_entry& session = *found->second;
    session.awaits_token = false;
    const held_statement next = std::move(session.held.front());
    session.held.pop_front();
    if (refusal) {
        statement::answer answer;
        answer.error = statement::error_class::busy;
        answer.error_text = *refusal;
        session.last_used = boot_now();
        m_clients.send_answer(id, answer);
    }
    else {
        pass_statement(id, next);
    }
    release_held(id);
}

void session_forwarder::pass_statement(session_id id, const held_statement& passed)
{
    session_entry& session = *m_sessions.at(id);
    const statement::statement& request = passed.request;
    session.last_used = boot_now();
    if (m_shutdown && session.tracker.is_idle() &&
        m_shutdown->refuses(request.kind, session.last_used)) {
        log().warn("refused a statement: the process stops",
                   {{"session", id.value()},
                    {"request_id", std::string_view{request.id}},
                    {"statement", statement::to_string(request.kind)}});
        refuse_and_end(id, statement::error_class::busy, "this daemon shuts down; reconnect");
        return;
    }
    if (session.tracker.is_idle() && !apply_terms(id, request)) {
        return;
    }
    session.tracker.on_statement(request, session.last_used);
    const std::string bytes = passed.line + "\r\n";
    session.socket->write(bytes.data(), static_cast<qint64>(bytes.size()));
    session.socket->flush();
}

bool session_forwarder::apply_terms(session_id id, const statement::statement& request)
{
    // The home may have an older configuration, and the session's start may be long ago.
    session_entry& session = *m_sessions.at(id);
    const operation_terms terms = m_terms_of(session.request.start);
    if (terms.refusal == statement::error_class::none) {
        session.request.statement_timeout = terms.statement_timeout;
        return true;
    }
    const bool has_route = terms.refusal != statement::error_class::unknown_database;
    log().warn(has_route ? "refused an operation: its key was removed"
                         : "refused an operation: its route was removed",
               {{"session", id.value()}, {"request_id", std::string_view{request.id}}});
    if (has_route) {
        refuse_and_end(id, terms.refusal, "the key is not known any more");
        return false;
    }
    statement::answer answer;
    answer.error = terms.refusal;
    answer.error_text = "the route was removed";
    m_clients.send_answer(id, answer);
    return false;
}

void session_forwarder::read_from_home(session_id id)
{
    auto found = m_sessions.find(id);
    if (found == m_sessions.end() || found->second->socket == nullptr) {
        return;
    }
    const QByteArray bytes = found->second->socket->readAll();
    found->second->splitter.feed({bytes.data(), static_cast<std::size_t>(bytes.size())});
    const bool was_waiting = found->second->tracker.is_waiting();
    std::string client_lines;
    std::size_t answers = 0;
    bool ended = false;
    while (!ended) {
        const auto line = found->second->splitter.next();
        if (line.has_error() || !line.value()) {
            break;
        }
        const bool ends_answer =
            found->second->started && adapter::final_state(*line.value()).has_value();
        ended = on_home_line(id, *found->second, *line.value());
        if (!ended) {
            answers += ends_answer ? 1U : 0U;
            client_lines += *line.value() + "\r\n";
        }
    }
    if (ended || client_lines.empty()) {
        return;
    }
    found->second->last_used = boot_now();
    m_clients.write(id, client_lines, answers);
    release_held(id);
    // A client sends its next statement after an answer, so that none is on its way now.
    found = m_sessions.find(id);
    if (was_waiting && found != m_sessions.end() && may_close(*found->second, boot_now())) {
        end_session(id);
    }
}

bool session_forwarder::on_home_line(session_id id, session_entry& session, const std::string& line)
{
    const auto state = adapter::final_state(line);
    if (session.started) {
        if (state) {
            session.tracker.on_answer(*state);
        }
        return false;
    }
    if (!state) {
        if (adapter::refuses_key(line)) {
            log().warn("refused a session: the home's configuration has no such key",
                       {{"session", id.value()}, {"home", session.home}});
            m_clients.write(id, line + "\r\n");
            end_session(id);
            return true;
        }
        // This home does not serve the database at present; another home may.
        on_home_failed(id, line);
        return true;
    }
    session.started = true;
    m_homes.mark_reachable(session.home);
    return false;
}

void session_forwarder::on_home_failed(session_id id, const std::string& cause)
{
    session_entry& session = *m_sessions.at(id);
    close_home_socket(session);
    log().warn("lost the home of a session", {{"session", id.value()},
                                              {"home", session.home},
                                              {"cause", cause},
                                              {"started", session.started},
                                              {"idle", session.tracker.is_idle()}});
    if (!session.started) {
        m_homes.mark_failed(session.home, boot_now());
        try_next_home(id);
        return;
    }
    // The session's values and prepared statements are lost with the home.
    answer_and_end(id);
}

void session_forwarder::answer_and_end(session_id id)
{
    if (const auto answer = m_sessions.at(id)->tracker.answer_for_lost_home()) {
        m_clients.send_answer(id, *answer);
    }
    else if (!m_sessions.at(id)->held.empty()) {
        statement::answer not_run;
        not_run.error = statement::error_class::busy;
        not_run.error_text = "the statement was not sent to a server; reconnect";
        m_clients.send_answer(id, not_run);
    }
    end_session(id);
}

void session_forwarder::refuse_and_end(session_id id, statement::error_class kind, const char* text)
{
    statement::answer answer;
    answer.error = kind;
    answer.error_text = text;
    m_clients.send_answer(id, answer);
    end_session(id);
}

bool session_forwarder::may_close(const session_entry& session, time_point now) const
{
    if (!m_shutdown || !session.started || session.tracker.is_waiting() || !session.held.empty()) {
        return false;
    }
    return session.tracker.is_idle() ? now >= session.close_time
                                     : m_shutdown->ends_transactions(now);
}

void session_forwarder::on_client_closed(session_id id)
{
    const auto found = m_sessions.find(id);
    if (found == m_sessions.end()) {
        return;
    }
    if (found->second->awaits_token) {
        m_limits.cancel(id);
    }
    close_home_socket(*found->second);
    m_sessions.erase(found);
}

void session_forwarder::end_session(session_id id)
{
    m_clients.close(id);
    on_client_closed(id);
}

void session_forwarder::close_home_socket(session_entry& session)
{
    if (session.socket == nullptr) {
        return;
    }
    session.socket->disconnect(this);
    // Ends the session at the home, which rolls back an open transaction.
    session.socket->disconnectFromHost();
    session.socket->deleteLater();
    session.socket = nullptr;
}

void session_forwarder::on_tick(time_point now)
{
    std::vector<session_id> timed_out;
    std::vector<session_id> closing;
    std::vector<session_id> unanswered;
    const bool over = m_shutdown && m_shutdown->is_over(now);
    for (const auto& [id, session] : m_sessions) {
        const bool overdue = session->started
                                 ? session->tracker.oldest_wait(now) >
                                       session->request.statement_timeout + answer_margin
                                 : now >= session->start_deadline;
        if (overdue) {
            timed_out.push_back(id);
        }
        else if (over) {
            unanswered.push_back(id);
        }
        else if (may_close(*session, now) &&
                 now - session->last_used >= proxy::min_idle_before_close) {
            closing.push_back(id);
        }
    }
    for (const session_id id : timed_out) {
        on_home_failed(id, "no answer in time");
    }
    for (const session_id id : closing) {
        end_session(id);
    }
    for (const session_id id : unanswered) {
        const session_entry& session = *m_sessions.at(id);
        log().warn("ended a session at the end of a shutdown",
                   {{"session", id.value()},
                    {"home", session.home},
                    {"waiting", session.tracker.is_waiting()}});
        answer_and_end(id);
    }
}

duration session_forwarder::tick_interval() const
{
    if (m_shutdown) {
        return shutdown_tick_interval;
    }
    return m_sessions.empty() ? duration::max() : usual_tick_interval;
}

void session_forwarder::begin_shutdown(const proxy::shutdown_schedule& schedule, time_point now)
{
    if (m_shutdown) {
        return;
    }
    m_shutdown = schedule;
    for (const auto& [id, session] : m_sessions) {
        session->close_time = now + m_random.between(duration{0}, proxy::session_close_window);
    }
}

} // namespace gypsumstep::edge
