/// \file
/// One PostgreSQL connection to the backend stand-in.
#pragma once

#include "database.h"
#include "replication.h"
#include "slots.h"

#include "gypsumstep/pgwire/backend.h"
#include "gypsumstep/pgwire/frontend.h"

#include <QObject>
#include <QTcpSocket>

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace gypsumstep::standin {

/// Parts of the server that every connection uses.
struct server_parts {
    replica& state;
    replication_puller& puller;
    slot_pool& pool;
};

/// Speaks the server side of the protocol with one client.
class client_connection : public QObject {
    Q_OBJECT

public:
    /// Takes ownership of \p socket and deletes itself when the client leaves.
    client_connection(QTcpSocket* socket, server_parts parts);

private:
    struct portal {
        std::string sql;
        parameter_list parameters;
    };

    void read();
    void handle(const pgwire::frontend_message& message);
    void handle_one(const pgwire::startup& message);
    void handle_one(const pgwire::ssl_request& message);
    void handle_one(const pgwire::gss_request& message);
    void handle_one(const pgwire::cancel_request& message);
    void handle_one(const pgwire::query& message);
    void handle_one(const pgwire::parse& message);
    void handle_one(const pgwire::bind& message);
    void handle_one(const pgwire::describe& message);
    void handle_one(const pgwire::execute& message);
    void handle_one(const pgwire::close& message);
    void handle_one(const pgwire::sync& message);
    void handle_one(const pgwire::flush& message);
    void handle_one(const pgwire::terminate& message);
    void handle_one(const pgwire::unsupported& message);

    void run_in_slot(std::function<void()> work);
    void run_query(const std::string& sql);
    void run_portal();
    void resume();
    bool run_control(const std::string& sql);
    [[nodiscard]] bool writes_allowed() const;
    [[nodiscard]] statement_result run_statement(std::string_view sql,
                                                 const parameter_list& values);
    void keep_committed();
    void send_result(const statement_result& result, bool with_description);
    void send_error(const std::string& sqlstate, const std::string& message);
    void send_ready();
    void send_status(bool all);
    void set_parameter(const std::string& name, const std::string& value);
    void write(const std::string& bytes);
    void end_session();

    QTcpSocket* m_socket;
    server_parts m_parts;
    pgwire::message_splitter m_splitter;
    std::unique_ptr<database_session> m_session;
    std::deque<pgwire::frontend_message> m_inbox;
    std::map<std::string, std::string> m_statements;
    portal m_portal;
    std::map<std::string, std::string> m_reported;
    log_position m_last_commit;
    term m_transaction_term{0};
    bool m_busy{false};
    bool m_failed_transaction{false};
    bool m_skip_to_sync{false};
    bool m_portal_described{false};
};

} // namespace gypsumstep::standin
