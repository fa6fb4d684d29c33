/// \file
/// A connection to a backend server for status requests and control calls.
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

/// A server's answer to a call.
struct server_status {
    time_point asked_at;   ///< when the call was sent, by this VM's clock
    nlohmann::json fields; ///< the answer, a JSON object
};

/// Calls one server, one call at a time.
///
/// If an answer is late or lost, the call's handler is not called and the monitor
/// reconnects.
class server_monitor : public QObject {
public:
    using status_handler = std::function<void(const server_status&)>;
    using lost_handler = std::function<void()>;

    /// \param on_status called for every answer to the periodic status request
    /// \param on_lost called when the server does not answer
    server_monitor(const fleet::server& server, const std::string& database,
                   status_handler on_status, lost_handler on_lost);

    /// Sends a control call before the next status request. The call is dropped if too many
    /// are pending.
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
