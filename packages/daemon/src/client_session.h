/// \file
/// The session of one client: protocol state, settings, token and the current statement.
#pragma once

#include "messages.h"
#include "refusal.h"

#include "gypsumstep/intake/ledger.h"
#include "gypsumstep/pgwire/backend.h"
#include "gypsumstep/pgwire/frontend.h"
#include "gypsumstep/session/statement_class.h"

#include <QObject>
#include <QTcpSocket>

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace gypsumstep::daemon {

class client_session;

/// What a session needs from the listener that accepted it.
class session_host {
public:
    virtual ~session_host() = default;
    session_host() = default;
    session_host(const session_host&) = delete;
    session_host& operator=(const session_host&) = delete;

    /// The newest view of a group; nullptr if there is no such group.
    [[nodiscard]] virtual const routing::group_view* find_group(const std::string& name) = 0;

    /// Sends a request to the home; the answer is passed to \p sender's on_answer().
    /// \return false if the channel to the home is full; the request was not sent
    [[nodiscard]] virtual bool send(client_session& sender, execute_request request) = 0;

    /// Ends the binding of a session that is being destroyed.
    virtual void release(const release_request& request) = 0;

    /// What all sessions hold; sessions report what they do.
    [[nodiscard]] virtual intake::ledger& intake() = 0;

    /// Closes sessions if all together hold too much; may close the caller's connection.
    virtual void enforce_intake() = 0;
};

/// Speaks PostgreSQL protocol 3.0 with one client and runs one statement at a time.
class client_session : public QObject {
public:
    /// Takes ownership of \p socket.
    /// \param process_id and \p secret identify this session in a CancelRequest
    /// \param id of the session in the host's ledger
    client_session(QTcpSocket* socket, session_host& host, intake::connection_id id,
                   std::size_t max_message_bytes, std::int32_t process_id, std::int32_t secret,
                   std::function<void()> on_closed);
    ~client_session() override;
    client_session(const client_session&) = delete;
    client_session& operator=(const client_session&) = delete;

    /// The name of the database group that the client connected to.
    [[nodiscard]] const std::string& group() const { return m_group; }

    /// Closes the connection at once.
    void abort() { m_socket->abort(); }

    /// Ends the session as soon as no statement and no transaction is open.
    void begin_shutdown();

    /// Handles the answer to the request that this session sent last.
    void on_answer(execute_answer answer);

private:
    struct prepared_statement {
        std::string sql;
        std::vector<std::int32_t> parameter_types;
    };
    struct portal {
        backend::work work;
        bool described{false};
    };

    void read();
    void resume();
    void handle_messages();
    void set_statement(const std::string& name, prepared_statement statement);
    void erase_statement(const std::string& name);
    void set_portal(const std::string& name, backend::work work);
    void erase_portal(const std::string& name);
    /// Sets what the session keeps between messages, in bytes.
    void change_kept(std::size_t bytes);
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

    bool answer_setting(const std::string& sql, bool with_description);
    void begin_work(backend::work work, bool extended);
    void route();
    void retry_route();
    void on_route_refusal(routing::route_refusal refusal);
    void finish_work(const std::string& messages, bool failed);
    void fail_work(refusal kind, const std::string& reason);
    void advance_token(log_position position);
    void report_token();
    void send_error(const pgwire::error_fields& fields);
    void send_fatal(const char* sqlstate, const std::string& message);
    void send_ready();
    void write(const std::string& bytes);

    QTcpSocket* m_socket;
    session_host& m_host;
    intake::connection_id m_id;
    std::size_t m_kept{0};           ///< bytes of prepared statements and portals
    bool m_completed_message{false}; ///< since the last report to the ledger
    std::function<void()> m_on_closed;
    pgwire::message_splitter m_splitter;
    std::deque<pgwire::frontend_message> m_inbox;
    session::session_settings m_settings;
    std::string m_group;
    client_account_id m_client_account;
    std::map<std::string, prepared_statement> m_statements;
    std::map<std::string, portal> m_portals;
    std::int32_t m_process_id;
    std::int32_t m_secret;
    pgwire::transaction_state m_state{pgwire::transaction_state::idle};
    binding_id m_binding;
    server_id m_bound_server;
    bool m_started{false};
    bool m_skip_to_sync{false};
    bool m_shutting_down{false};

    // State of the current statement.
    bool m_working{false};
    bool m_extended{false};
    bool m_sent{false};
    bool m_was_behind{false};
    backend::work m_work;
    routing::route_request m_route;
    time_point m_deadline{};
    std::string m_last_reason;
};

} // namespace gypsumstep::daemon
