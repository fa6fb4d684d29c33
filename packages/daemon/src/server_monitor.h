/// \file
/// One connection to a backend server for its status and for control calls.
#pragma once

#include "gypsumstep/backend/connection.h"
#include "gypsumstep/fleet/document.h"

#include <nlohmann/json.hpp>

#include <QObject>
#include <QTimer>

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace gypsumstep::daemon {

/// A server's answer to a call, as it stood when the call was made.
struct server_status {
    time_point asked_at;   ///< when the question was sent, by this VM's clock
    nlohmann::json fields; ///< an object
};

/// Calls one server, one call at a time. A call whose answer is late or lost
/// has no handler called; the connection is opened anew.
class server_monitor : public QObject {
public:
    using status_handler = std::function<void(const server_status&)>;
    using lost_handler = std::function<void()>;

    /// \param on_status called for every answer to the regular status question
    /// \param on_lost called when the server does not answer
    server_monitor(const fleet::server& server, const std::string& database,
                   status_handler on_status, lost_handler on_lost);

    /// Sends a control call ahead of the next status question.
    void call(const std::string& sql, status_handler on_answer);

private:
    struct pending_call {
        std::string sql;
        status_handler on_answer;
        time_point made_at;
    };

    void tick();
    void reconnect();
    void send_next();
    void send(const pending_call& pending);
    void on_connection_lost();

    fleet::server m_server;
    std::string m_database;
    status_handler m_on_status;
    lost_handler m_on_lost;
    std::unique_ptr<backend::connection> m_connection;
    std::deque<pending_call> m_calls;
    time_point m_busy_since{};
    QTimer m_timer;
};

} // namespace gypsumstep::daemon
