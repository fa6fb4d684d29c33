#include "client_connection.h"

#include <QTimer>

#include <algorithm>
#include <regex>

namespace gypsumstep::standin {
namespace {

constexpr std::size_t max_message_bytes = 64UL * 1024 * 1024;
constexpr auto lock_retry = std::chrono::milliseconds{2};

bool starts_with_word(std::string_view sql, std::string_view word)
{
    const auto begin = sql.find_first_not_of(" \t\r\n");
    return begin != std::string_view::npos &&
           std::equal(
               word.begin(), word.end(), sql.begin() + static_cast<std::ptrdiff_t>(begin),
               sql.begin() + static_cast<std::ptrdiff_t>(std::min(sql.size(), begin + word.size())),
               [](char a, char b) { return a == std::toupper(static_cast<unsigned char>(b)); });
}

std::string promotion_text(failover::promotion_answer answer)
{
    switch (answer) {
    case failover::promotion_answer::promoted:
        return "promoted";
    case failover::promotion_answer::behind:
        return "behind";
    case failover::promotion_answer::refused:
        break;
    }
    return "refused";
}

} // namespace

client_connection::client_connection(QTcpSocket* socket, server_parts parts)
    : m_socket{socket}, m_parts{parts}, m_splitter{max_message_bytes}
{
    m_socket->setParent(this);
    m_socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    connect(m_socket, &QTcpSocket::readyRead, this, &client_connection::read);
    connect(m_socket, &QTcpSocket::disconnected, this, [this] {
        if (m_session) {
            m_session->roll_back();
        }
        deleteLater();
    });
    connect(&m_parts.state, &replica::held_moved, this, [this] {
        if (m_session) {
            set_parameter("group_held", to_string(m_parts.state.held()));
        }
    });
    connect(&m_parts.state, &replica::data_replaced, this, &client_connection::end_session,
            Qt::QueuedConnection);
}

void client_connection::end_session()
{
    if (m_session) {
        m_session->roll_back();
        m_socket->abort();
    }
}

void client_connection::read()
{
    m_splitter.feed(m_socket->readAll().toStdString());
    for (;;) {
        const auto next = m_splitter.next();
        if (next.has_error()) {
            m_socket->abort();
            return;
        }
        if (!next.value()) {
            break;
        }
        auto message = pgwire::decode_frontend(*next.value());
        if (message.has_error()) {
            m_socket->abort();
            return;
        }
        if (std::holds_alternative<pgwire::startup>(message.value())) {
            m_splitter.end_startup_phase();
        }
        m_inbox.push_back(std::move(message).value());
    }
    resume();
}

void client_connection::resume()
{
    while (!m_busy && !m_inbox.empty()) {
        const auto message = std::move(m_inbox.front());
        m_inbox.pop_front();
        handle(message);
    }
}

void client_connection::run_in_slot(std::function<void()> work)
{
    m_busy = true;
    m_parts.pool.run(this, [this, work = std::move(work)] {
        m_busy = false;
        send_status(false);
        work();
        resume();
    });
}

bool client_connection::writes_allowed() const
{
    return m_parts.state.is_primary() &&
           (!m_session->in_transaction() || m_transaction_term == m_parts.state.current_term() ||
            !m_session->has_uncommitted_changes());
}

statement_result client_connection::run_statement(std::string_view sql,
                                                  const parameter_list& values)
{
    statement_result result;
    if (m_failed_transaction && !starts_with_word(sql, "ROLLBACK") &&
        !starts_with_word(sql, "COMMIT")) {
        result.status = statement_status::failed;
        result.message = "current transaction is aborted";
        result.consumed = sql.size();
        return result;
    }
    if (starts_with_word(sql, "COMMIT") &&
        (m_failed_transaction || (m_session->has_uncommitted_changes() && !writes_allowed()))) {
        const bool refused = !m_failed_transaction;
        m_session->roll_back();
        m_failed_transaction = false;
        result.status = refused ? statement_status::write_refused : statement_status::done;
        result.tag = "ROLLBACK";
        result.consumed = sql.size();
        return result;
    }
    result = m_session->run(sql, values, writes_allowed());
    if (!m_session->in_transaction()) {
        m_failed_transaction = false;
    }
    else if (!m_session->has_uncommitted_changes()) {
        m_transaction_term = m_parts.state.current_term();
    }
    keep_committed();
    return result;
}

void client_connection::keep_committed()
{
    auto committed = m_session->take_committed();
    if (!committed.empty()) {
        m_last_commit = m_parts.state.commit(std::move(committed));
    }
}

void client_connection::run_query(const std::string& sql)
{
    std::string_view rest = sql;
    bool sent_any = false;
    while (rest.find_first_not_of(" \t\r\n;") != std::string_view::npos) {
        const statement_result result = run_statement(rest, {});
        if (result.status == statement_status::locked) {
            m_busy = true;
            QTimer::singleShot(lock_retry, this, [this, again = std::string{rest}] {
                m_busy = false;
                run_query(again);
                resume();
            });
            return;
        }
        sent_any = true;
        send_result(result, true);
        if (result.status != statement_status::done) {
            break;
        }
        rest.remove_prefix(result.consumed);
    }
    if (!sent_any) {
        write(pgwire::empty_query_response());
    }
    send_ready();
}

void client_connection::run_portal()
{
    const statement_result result = run_statement(m_portal.sql, m_portal.parameters);
    if (result.status == statement_status::locked) {
        m_busy = true;
        QTimer::singleShot(lock_retry, this, [this] {
            m_busy = false;
            run_portal();
            resume();
        });
        return;
    }
    if (m_portal_described && result.status == statement_status::done && !result.is_query) {
        write(pgwire::no_data());
    }
    send_result(result, m_portal_described);
    m_skip_to_sync = result.status != statement_status::done;
}

void client_connection::send_result(const statement_result& result, bool with_description)
{
    if (result.status == statement_status::write_refused) {
        m_failed_transaction = m_session->in_transaction();
        send_error("25006", "this server takes no writes");
        return;
    }
    if (result.status == statement_status::failed) {
        m_failed_transaction = m_session->in_transaction();
        send_error(result.unique_violation ? "23505" : "42000", result.message);
        return;
    }
    if (result.is_query && with_description) {
        std::vector<pgwire::column> columns;
        for (const std::string& name : result.columns) {
            columns.push_back({name});
        }
        write(pgwire::row_description(columns));
    }
    for (const auto& row : result.rows) {
        write(pgwire::data_row({row.begin(), row.end()}));
    }
    write(pgwire::command_complete(result.tag));
}

void client_connection::send_error(const std::string& sqlstate, const std::string& message)
{
    write(pgwire::error_response({"ERROR", sqlstate, message, "", ""}));
}

void client_connection::send_ready()
{
    send_status(true);
    auto state = pgwire::transaction_state::idle;
    if (m_session->in_transaction()) {
        state = m_failed_transaction ? pgwire::transaction_state::failed
                                     : pgwire::transaction_state::active;
    }
    write(pgwire::ready_for_query(state));
}

void client_connection::send_status(bool after_statement)
{
    const replica& state = m_parts.state;
    if (!after_statement) {
        // Reads see at least what was applied before they start.
        set_parameter("group_snapshot", to_string(state.applied()));
        return;
    }
    set_parameter("group_role", state.is_primary() ? "primary" : "replica");
    set_parameter("group_term", std::to_string(state.current_term().value()));
    set_parameter("group_commit", to_string(m_last_commit));
    set_parameter("group_held", to_string(state.held()));
}

void client_connection::set_parameter(const std::string& name, const std::string& value)
{
    std::string& reported = m_reported[name];
    if (reported != value) {
        reported = value;
        write(pgwire::parameter_status(name, value));
    }
}

bool client_connection::run_control(const std::string& sql)
{
    static const std::regex call{R"(^\s*SELECT\s+(group_\w+)\s*\(([^)]*)\)\s*;?\s*$)"};
    std::smatch match;
    if (!std::regex_match(sql, match, call)) {
        return false;
    }
    const std::string name = match[1];
    const QStringList arguments = QString::fromStdString(match[2]).remove('\'').split(',');
    const auto number = [&arguments](int i) { return arguments.value(i).trimmed().toULongLong(); };
    const auto text = [&arguments](int i) { return arguments.value(i).trimmed(); };
    const failover::claim_id claim{daemon_id{number(1)}, number(2)};
    std::string answer = "done";
    if (name == "group_grant") {
        answer = m_parts.state.grant(term{number(0)}, claim) ? "granted" : "refused";
    }
    else if (name == "group_promote") {
        const auto at_least = parse_position(text(3).toStdString()).value_or(log_position{});
        answer = promotion_text(m_parts.state.promote(term{number(0)}, claim, at_least));
        if (m_parts.state.is_primary()) {
            m_parts.puller.stop();
        }
    }
    else if (name == "group_follow") {
        const bool follows = m_parts.state.follow(term{number(0)}, text(3).toStdString());
        answer = follows ? "following" : "refused";
        if (follows) {
            m_parts.puller.start(text(1), static_cast<quint16>(number(2)));
        }
    }
    else if (name == "group_set_lag_ms") {
        m_parts.state.set_apply_lag(std::chrono::milliseconds{number(0)});
    }
    else if (name == "group_set_service_ms") {
        m_parts.pool.set_service_time(std::chrono::milliseconds{number(0)});
    }
    else if (name != "group_status") {
        send_error("42883", "unknown call " + name);
        send_ready();
        return true;
    }
    const std::string status = m_parts.state.status(answer);
    write(pgwire::row_description({{name}}));
    write(pgwire::data_row({status}));
    write(pgwire::command_complete("SELECT 1"));
    send_ready();
    return true;
}

void client_connection::write(const std::string& bytes)
{
    if (m_socket->state() != QAbstractSocket::ConnectedState) {
        return;
    }
    m_socket->write(bytes.data(), static_cast<qint64>(bytes.size()));
}

} // namespace gypsumstep::standin
