// client_session's handlers for the messages of the PostgreSQL protocol.
#include "client_session.h"

#include "gypsumstep/session/setting_statement.h"

namespace gypsumstep::daemon {

void client_session::handle(const pgwire::frontend_message& message)
{
    const bool ends_skip = std::holds_alternative<pgwire::sync>(message) ||
                           std::holds_alternative<pgwire::terminate>(message);
    if (m_skip_to_sync && !ends_skip) {
        return;
    }
    std::visit([this](const auto& concrete) { handle_one(concrete); }, message);
}

void client_session::handle_one(const pgwire::startup& message)
{
    const auto value_of = [&message](const char* name) {
        const auto found = message.parameters.find(name);
        return found == message.parameters.end() ? std::string{} : found->second;
    };
    m_group = value_of("database");
    if (m_host.find_group(m_group) == nullptr) {
        send_fatal("3D000", "there is no database group \"" + m_group + "\"");
        return;
    }
    // The user name identifies the client account.
    m_client_account =
        client_account_id{static_cast<std::uint32_t>(std::hash<std::string>{}(value_of("user")))};
    for (const auto& [name, value] : session::parse_startup_options(value_of("options"))) {
        const auto applied = session::apply_setting(m_settings, name, value);
        if (applied.has_error()) {
            send_fatal("GS004", applied.error().message);
            return;
        }
    }
    m_started = true;
    m_host.intake().set_started(m_id);
    m_splitter.end_startup_phase();
    write(pgwire::authentication_ok());
    for (const auto& [name, value] : {std::pair{"server_version", "15.0"},
                                      {"server_encoding", "UTF8"},
                                      {"client_encoding", "UTF8"},
                                      {"DateStyle", "ISO, MDY"},
                                      {"integer_datetimes", "on"},
                                      {"standard_conforming_strings", "on"}}) {
        write(pgwire::parameter_status(name, value));
    }
    write(pgwire::backend_key_data(m_process_id, m_secret));
    report_token();
    send_ready();
}

void client_session::handle_one(const pgwire::ssl_request& /*message*/)
{
    write(pgwire::ssl_refused());
}

void client_session::handle_one(const pgwire::gss_request& /*message*/)
{
    write(pgwire::ssl_refused());
}

void client_session::handle_one(const pgwire::cancel_request& /*message*/)
{
    m_socket->disconnectFromHost();
}

void client_session::handle_one(const pgwire::query& message)
{
    if (answer_setting(message.sql, true)) {
        send_ready();
        return;
    }
    backend::work work;
    work.sql = message.sql;
    begin_work(std::move(work), false);
}

void client_session::handle_one(const pgwire::parse& message)
{
    set_statement(message.statement, {message.sql, message.parameter_types});
    write(pgwire::parse_complete());
}

void client_session::handle_one(const pgwire::bind& message)
{
    const auto found = m_statements.find(message.statement);
    if (found == m_statements.end()) {
        send_error({"ERROR", "26000", "there is no such prepared statement", "", ""});
        return;
    }
    backend::work work;
    work.kind = backend::work_kind::extended;
    work.sql = found->second.sql;
    work.parameter_types = found->second.parameter_types;
    work.parameter_formats = message.parameter_formats;
    work.parameters = message.parameters;
    work.binary_results = !message.result_formats.empty() && message.result_formats.front() == 1;
    work.with_description = false;
    set_portal(message.portal, std::move(work));
    write(pgwire::bind_complete());
}

void client_session::handle_one(const pgwire::describe& message)
{
    if (message.kind == 'P') {
        // RowDescription is sent along with the rows, which saves a round trip to the server.
        if (!m_portals.contains(message.name)) {
            set_portal(message.name, {});
        }
        m_portals[message.name].work.with_description = true;
        m_portals[message.name].described = true;
        return;
    }
    const auto found = m_statements.find(message.name);
    if (found == m_statements.end()) {
        send_error({"ERROR", "26000", "there is no such prepared statement", "", ""});
        return;
    }
    backend::work work;
    work.kind = backend::work_kind::describe;
    work.sql = found->second.sql;
    work.parameter_types = found->second.parameter_types;
    begin_work(std::move(work), true);
}

void client_session::handle_one(const pgwire::execute& message)
{
    const auto found = m_portals.find(message.portal);
    if (found == m_portals.end()) {
        send_error({"ERROR", "34000", "there is no such portal", "", ""});
        return;
    }
    if (answer_setting(found->second.work.sql, found->second.described)) {
        return;
    }
    begin_work(found->second.work, true);
}

void client_session::handle_one(const pgwire::close& message)
{
    if (message.kind == 'S') {
        erase_statement(message.name);
    }
    else {
        erase_portal(message.name);
    }
    write(pgwire::close_complete());
}

void client_session::handle_one(const pgwire::sync& /*message*/)
{
    m_skip_to_sync = false;
    send_ready();
}

void client_session::handle_one(const pgwire::flush& /*message*/)
{
    m_socket->flush();
}

void client_session::handle_one(const pgwire::terminate& /*message*/)
{
    m_socket->disconnectFromHost();
}

void client_session::handle_one(const pgwire::unsupported& message)
{
    send_fatal("08P01", std::string{"unsupported message type '"} + message.type + "'");
}

bool client_session::answer_setting(const std::string& sql, bool with_description)
{
    const auto statement = session::parse_setting_statement(sql);
    if (!statement) {
        return false;
    }
    if (statement->kind == session::setting_statement::action::show) {
        const auto shown = session::show_setting(m_settings, statement->name);
        if (shown.has_error()) {
            send_error(make_refusal(refusal::invalid_setting, shown.error().message));
            return true;
        }
        const std::string name = std::string{session::setting_prefix} + statement->name;
        write((with_description ? pgwire::row_description({{name}}) : "") +
              pgwire::data_row({shown.value()}) + pgwire::command_complete("SHOW"));
        return true;
    }
    const auto applied = session::apply_setting(m_settings, statement->name, statement->value);
    if (applied.has_error()) {
        send_error(make_refusal(refusal::invalid_setting, applied.error().message));
        return true;
    }
    write((with_description && m_extended ? pgwire::no_data() : "") +
          pgwire::command_complete("SET"));
    report_token();
    return true;
}

} // namespace gypsumstep::daemon
