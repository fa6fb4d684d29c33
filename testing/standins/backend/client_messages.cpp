// What a connection of the backend stand-in does with each message of the protocol.
#include "client_connection.h"

namespace gypsumstep::standin {

void client_connection::handle(const pgwire::frontend_message& message)
{
    if (m_skip_to_sync && !std::holds_alternative<pgwire::sync>(message) &&
        !std::holds_alternative<pgwire::terminate>(message)) {
        return;
    }
    std::visit([this](const auto& each) { handle_one(each); }, message);
}

void client_connection::handle_one(const pgwire::startup& message)
{
    (void)message;
    m_session = std::make_unique<database_session>(m_parts.state.database_name());
    write(pgwire::authentication_ok());
    set_parameter("server_version", "15.0");
    set_parameter("client_encoding", "UTF8");
    set_parameter("standard_conforming_strings", "on");
    write(pgwire::backend_key_data(1, 1));
    send_ready();
}

void client_connection::handle_one(const pgwire::ssl_request& /*message*/)
{
    write(pgwire::ssl_refused());
}

void client_connection::handle_one(const pgwire::gss_request& /*message*/)
{
    write(pgwire::ssl_refused());
}

void client_connection::handle_one(const pgwire::cancel_request& /*message*/)
{
    m_socket->disconnectFromHost();
}

void client_connection::handle_one(const pgwire::query& message)
{
    if (run_control(message.sql)) {
        return;
    }
    run_in_slot([this, sql = message.sql] { run_query(sql); });
}

void client_connection::handle_one(const pgwire::parse& message)
{
    m_statements[message.statement] = message.sql;
    write(pgwire::parse_complete());
}

void client_connection::handle_one(const pgwire::bind& message)
{
    m_portal = {m_statements[message.statement], message.parameters};
    m_portal_described = false;
    write(pgwire::bind_complete());
}

void client_connection::handle_one(const pgwire::describe& message)
{
    if (message.kind == 'S') {
        write(pgwire::parameter_description({}));
        write(pgwire::no_data());
        return;
    }
    m_portal_described = true;
}

void client_connection::handle_one(const pgwire::execute& /*message*/)
{
    run_in_slot([this] { run_portal(); });
}

void client_connection::handle_one(const pgwire::close& /*message*/)
{
    write(pgwire::close_complete());
}

void client_connection::handle_one(const pgwire::sync& /*message*/)
{
    m_skip_to_sync = false;
    send_ready();
}

void client_connection::handle_one(const pgwire::flush& /*message*/)
{
    m_socket->flush();
}

void client_connection::handle_one(const pgwire::terminate& /*message*/)
{
    m_socket->disconnectFromHost();
}

void client_connection::handle_one(const pgwire::unsupported& /*message*/)
{
    m_socket->abort();
}

} // namespace gypsumstep::standin
