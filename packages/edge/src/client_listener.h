/// \file
/// Accepts and serves the connections of clients.
#pragma once

#include "connection_guard.h"

#include "gypsumstep/adapter/client_codec.h"
#include "gypsumstep/base/ids.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace gypsumstep::edge {

/// Callbacks for the events of clients' connections. They run in the event loop's thread.
struct client_events {
    std::function<void(session_id)> connected;
    std::function<void(session_id, const adapter::start_message&)> started;
    std::function<void(session_id, statement::statement)> statement_received;
    std::function<void(session_id)> closed;
    /// The client broke the protocol; `closed` follows.
    std::function<void(session_id, const std::string& cause)> malformed;
};

/// Accepts connections of clients, decodes their messages and encodes the answers.
class client_listener : public QObject {
public:
    /// \param first_session id of the first session; later sessions get the ids that follow
    /// \param sender the kind of program that connects to it
    /// \param guard bounds what the connections hold; outlives the listener
    client_listener(client_events events, session_id first_session, adapter::line_sender sender,
                    connection_guard& guard);

    /// Starts to listen; false if the address cannot be used.
    [[nodiscard]] bool listen(const std::string& host, std::uint16_t port);

    void send_answer(session_id id, const statement::answer& answer);
    void send_start_answer(session_id id, const statement::answer& answer);

    /// Sends \p bytes, complete lines that are encoded already.
    /// \param answers number of statements whose answers end in them
    void write(session_id id, const std::string& bytes, std::size_t answers = 0);

    /// Sets the size of what the session keeps between its statements.
    void set_kept(session_id id, std::size_t bytes);

    [[nodiscard]] connection_guard& guard() { return m_guard; }

    /// Passes each further line of the session to \p on_line instead of decoding it and
    /// calling the events.
    void set_line_handler(session_id id, std::function<void(const std::string&)> on_line);

    /// Closes a connection after its pending bytes were written; no event follows.
    void close(session_id id);

    /// Whether bytes of answers are not sent yet, also on connections that were closed.
    [[nodiscard]] bool has_unsent_answers() const;

    /// Accepts no further connections.
    void stop_listening() { m_server.close(); }

private:
    struct connection {
        QTcpSocket* socket{nullptr};
        adapter::line_splitter splitter;
        std::function<void(const std::string&)> on_line; ///< empty unless a line handler is set
        intake::connection_id guarded;
        qint64 unread{0};           ///< bytes of answers that the client has not accepted
        bool read_scheduled{false}; ///< read() is called from the event loop
    };

    void accept();
    /// Answers that there is no room, and closes the socket.
    void refuse(QTcpSocket& socket);
    /// Closes a connection as the guard decided.
    void drop(session_id id);
    /// Keeps counting the answers that a closed connection still has to send.
    void guard_pending(QTcpSocket& socket);
    void update_unread(connection& member);
    /// Reads later if something waits that could not be handled before.
    void schedule_read(session_id id, connection& member);
    /// Handles the lines that are complete. Returns whether there was one.
    bool handle_lines(session_id id);
    void read(session_id id);
    bool handle_message(session_id id, const std::string& line);
    void remove_connection(session_id id);

    client_events m_events;
    QTcpServer m_server;
    std::map<session_id, std::unique_ptr<connection>> m_connections;
    std::uint64_t m_next_session;
    std::size_t m_closing{0}; ///< closed connections with answers that are not sent yet
    adapter::line_sender m_sender;
    connection_guard& m_guard;
};

} // namespace gypsumstep::edge
