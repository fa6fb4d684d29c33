#include "client_session.h"

#include "clock.h"

#include <QTimer>

#include <utility>

namespace gypsumstep::daemon {
namespace {

constexpr duration default_deadline = 5s;
constexpr auto route_retry = std::chrono::milliseconds{20};
constexpr const char* token_parameter = "gypsumstep.session";

/// Largest size of the input that Qt buffers for a client, in bytes.
constexpr qint64 read_buffer_bytes = 64LL << 10;

/// What an entry of a map takes beside its text, in bytes.
constexpr std::size_t entry_bytes = 128;

/// A statement is held by its session and once more in the channel to the home.
constexpr std::size_t copies_of_statement = 2;

std::size_t size_of(const backend::work& work)
{
    std::size_t bytes = work.sql.size();
    for (const auto& parameter : work.parameters) {
        bytes += sizeof parameter + (parameter ? parameter->size() : 0);
    }
    return bytes;
}

} // namespace

client_session::client_session(QTcpSocket* socket, session_host& host, intake::connection_id id,
                               std::size_t max_message_bytes, std::int32_t process_id,
                               std::int32_t secret, std::function<void()> on_closed)
    : m_socket{socket}, m_host{host}, m_id{id}, m_on_closed{std::move(on_closed)},
      m_splitter{max_message_bytes}, m_process_id{process_id}, m_secret{secret}
{
    m_socket->setParent(this);
    m_socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    // Limits how much a client can send before it has read its answers.
    m_socket->setReadBufferSize(read_buffer_bytes);
    connect(m_socket, &QTcpSocket::bytesWritten, this, [this] {
        m_host.intake().set_unread(m_id, static_cast<std::size_t>(m_socket->bytesToWrite()),
                                   steady_now());
        if (m_socket->bytesAvailable() > 0 || m_splitter.held_bytes() > 0) {
            // Deferred, since this may run while a message is handled.
            QMetaObject::invokeMethod(this, &client_session::read, Qt::QueuedConnection);
        }
    });
    connect(m_socket, &QTcpSocket::readyRead, this, &client_session::read);
    connect(m_socket, &QTcpSocket::disconnected, this, [this] { m_on_closed(); });
}

client_session::~client_session()
{
    m_socket->disconnect(this);
    if (m_binding != binding_id{}) {
        m_host.release({m_bound_server, m_binding});
    }
}

void client_session::begin_shutdown()
{
    m_shutting_down = true;
    if (!m_working && m_state == pgwire::transaction_state::idle) {
        send_fatal("57P01", "this daemon is shutting down; connect again");
    }
}

void client_session::read()
{
    m_host.enforce_intake();
    if (m_working || m_socket->state() != QAbstractSocket::ConnectedState) {
        return;
    }
    resume();
}

void client_session::resume()
{
    handle_messages();
    m_host.intake().set_input(m_id, m_splitter.held_bytes(),
                              std::exchange(m_completed_message, false), steady_now());
}

void client_session::handle_messages()
{
    while (!m_working && m_socket->state() == QAbstractSocket::ConnectedState &&
           m_host.intake().may_read(m_id)) {
        const auto next = m_splitter.next();
        if (next.has_error()) {
            send_fatal("08P01", next.error().message);
            return;
        }
        if (!next.value()) {
            if (m_socket->bytesAvailable() == 0) {
                return;
            }
            const QByteArray bytes = m_socket->readAll();
            m_splitter.feed({bytes.data(), static_cast<std::size_t>(bytes.size())});
            continue;
        }
        m_completed_message = true;
        const auto message = pgwire::decode_frontend(*next.value());
        if (message.has_error()) {
            send_fatal("08P01", message.error().message);
            return;
        }
        handle(message.value());
    }
}

void client_session::set_statement(const std::string& name, prepared_statement statement)
{
    erase_statement(name);
    const std::size_t bytes = entry_bytes + name.size() + statement.sql.size();
    m_statements[name] = std::move(statement);
    change_kept(m_kept + bytes);
}

void client_session::erase_statement(const std::string& name)
{
    if (const auto found = m_statements.find(name); found != m_statements.end()) {
        const std::size_t bytes = entry_bytes + name.size() + found->second.sql.size();
        m_statements.erase(found);
        change_kept(m_kept - bytes);
    }
}

void client_session::set_portal(const std::string& name, backend::work work)
{
    erase_portal(name);
    const std::size_t bytes = entry_bytes + name.size() + size_of(work);
    m_portals[name] = {std::move(work), false};
    change_kept(m_kept + bytes);
}

void client_session::erase_portal(const std::string& name)
{
    if (const auto found = m_portals.find(name); found != m_portals.end()) {
        const std::size_t bytes = entry_bytes + name.size() + size_of(found->second.work);
        m_portals.erase(found);
        change_kept(m_kept - bytes);
    }
}

void client_session::change_kept(std::size_t bytes)
{
    m_kept = bytes;
    m_host.intake().set_kept(m_id, m_kept);
}

void client_session::begin_work(backend::work work, bool extended)
{
    m_working = true;
    m_host.intake().add_statement(m_id, copies_of_statement * size_of(work));
    m_extended = extended;
    m_was_behind = false;
    m_work = std::move(work);
    m_route = {m_settings.declared, m_settings.session_token.position_in(m_group), {}};
    m_deadline = steady_now() + m_settings.declared.deadline.value_or(default_deadline);
    m_last_reason.clear();
    route();
}

void client_session::route()
{
    const routing::group_view* group = m_host.find_group(m_group);
    server_id target = m_bound_server;
    if (m_binding == binding_id{}) {
        const auto chosen = group == nullptr
                                ? routing::route{routing::route_refusal::no_primary}
                                : routing::choose_server(*group, m_route, steady_now());
        if (const auto* refused = std::get_if<routing::route_refusal>(&chosen)) {
            on_route_refusal(*refused);
            return;
        }
        target = std::get<routing::chosen_server>(chosen).id;
    }
    execute_request request;
    request.server = target;
    request.binding = m_binding;
    request.priority = m_settings.declared.priority;
    request.client_account = m_client_account;
    request.is_write = m_settings.declared.mode == session::access_mode::write;
    request.request_key = m_settings.declared.request_key;
    request.at_least = m_route.session_position;
    request.deadline = m_deadline;
    request.work = m_work;
    m_sent = m_host.send(*this, std::move(request));
    if (!m_sent) {
        m_last_reason = "this daemon's ring to the home is full";
        retry_route();
    }
}

void client_session::on_route_refusal(routing::route_refusal refused)
{
    if (m_last_reason.empty()) {
        m_last_reason = refused == routing::route_refusal::no_primary
                            ? "the primary is unknown or out of reach"
                            : "no server within reach is fresh enough";
    }
    m_route.tried.clear();
    retry_route();
}

void client_session::retry_route()
{
    if (steady_now() + route_retry >= m_deadline) {
        fail_work(m_was_behind ? refusal::position_ahead : refusal::not_run, m_last_reason);
        return;
    }
    QTimer::singleShot(route_retry, this, [this] {
        if (m_working && !m_sent) {
            route();
        }
    });
}

void client_session::on_answer(execute_answer answer)
{
    m_sent = false;
    const binding_id before = m_binding;
    m_binding = answer.binding;
    m_bound_server = answer.server;
    m_last_reason = answer.reason;
    switch (answer.outcome) {
    case execute_outcome::answered:
        m_state = answer.answer.state;
        if (answer.observed) {
            advance_token(*answer.observed);
        }
        finish_work(answer.answer.messages, !answer.answer.sqlstate.empty());
        return;
    case execute_outcome::unknown:
        m_state = pgwire::transaction_state::idle;
        fail_work(refusal::outcome_unknown, answer.reason);
        return;
    case execute_outcome::already_run:
        if (answer.observed) {
            advance_token(*answer.observed);
        }
        fail_work(refusal::already_run, answer.reason);
        return;
    case execute_outcome::behind:
        m_was_behind = true;
        break;
    case execute_outcome::not_run:
        break;
    }
    if (before != binding_id{}) {
        m_state = pgwire::transaction_state::idle;
        fail_work(refusal::not_run, answer.reason);
        return;
    }
    if (answer.retry_after) {
        // The server is overloaded: refuse at once instead of queueing the statement here.
        const auto wait = std::chrono::ceil<std::chrono::milliseconds>(*answer.retry_after);
        fail_work(refusal::not_run,
                  answer.reason + "; try again in " + std::to_string(wait.count()) + " ms");
        return;
    }
    m_route.tried.push_back(answer.server);
    route();
}

void client_session::finish_work(const std::string& messages, bool failed)
{
    m_working = false;
    m_host.intake().remove_statement(m_id, steady_now());
    write(messages);
    if (failed && m_extended) {
        m_skip_to_sync = true;
    }
    report_token();
    if (!m_extended) {
        send_ready();
    }
    resume();
}

void client_session::fail_work(refusal kind, const std::string& reason)
{
    finish_work(pgwire::error_response(make_refusal(kind, reason)), true);
}

void client_session::advance_token(log_position position)
{
    m_settings.session_token.advance(m_group, position);
}

void client_session::report_token()
{
    const std::string text = m_settings.session_token.text();
    if (!text.empty()) {
        write(pgwire::parameter_status(token_parameter, text));
    }
}

void client_session::send_error(const pgwire::error_fields& fields)
{
    write(pgwire::error_response(fields));
    m_skip_to_sync = true;
}

void client_session::send_fatal(const char* sqlstate, const std::string& message)
{
    write(pgwire::error_response({"FATAL", sqlstate, message, "", ""}));
    m_socket->disconnectFromHost();
}

void client_session::send_ready()
{
    m_skip_to_sync = false;
    write(pgwire::ready_for_query(m_state));
    if (m_shutting_down) {
        begin_shutdown();
    }
}

void client_session::write(const std::string& bytes)
{
    m_socket->write(bytes.data(), static_cast<qint64>(bytes.size()));
    m_host.intake().set_unread(m_id, static_cast<std::size_t>(m_socket->bytesToWrite()),
                               steady_now());
}

} // namespace gypsumstep::daemon
