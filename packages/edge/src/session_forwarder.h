/// \file
/// Sessions of this daemon's clients that another daemon serves.
#pragma once

#include "client_listener.h"

#include "gypsumstep/base/random.h"
#include "gypsumstep/homes/forwarded_session.h"
#include "gypsumstep/homes/home_table.h"

#include <QTcpSocket>
#include <QTimer>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gypsumstep::edge {

/// Passes lines between clients and homes.
class session_forwarder : public QObject {
public:
    session_forwarder(client_listener& clients, homes::home_table& homes, std::uint64_t seed);

    /// What a session asks for, and how long one of its statements may take.
    struct request {
        adapter::start_message start;
        std::string service;
        std::uint32_t max_connections{0};
        duration statement_timeout{0};
    };

    /// Forwards a session that a client of this daemon just started.
    void begin(session_id id, request wanted);

    /// True if the session is forwarded.
    [[nodiscard]] bool owns(session_id id) const { return m_sessions.contains(id); }

    void on_client_closed(session_id id);

    /// Ends sessions whose home went silent; during a shutdown closes idle ones.
    void on_tick(time_point now);

    void begin_shutdown(time_point now);

    [[nodiscard]] std::size_t size() const { return m_sessions.size(); }

private:
    struct forwarded {
        request wanted;
        std::vector<homes::daemon_entry> order;
        std::size_t next_home{0};
        std::string home;
        QTcpSocket* socket{nullptr};
        adapter::line_splitter splitter;
        homes::forwarded_session tracked;
        bool started{false};
        time_point connect_limit{};
        time_point close_at{};
    };

    void try_next_home(session_id id);
    void on_client_line(session_id id, const std::string& line);
    void read(session_id id);
    bool on_home_line(session_id id, forwarded& of, const std::string& line);
    void home_failed(session_id id, const std::string& cause);
    void end(session_id id);
    void drop_socket(forwarded& of);

    client_listener& m_clients;
    homes::home_table& m_homes;
    random_source m_random;
    std::map<session_id, std::unique_ptr<forwarded>> m_sessions;
    std::uint64_t m_turn;
    bool m_stopping{false};
};

} // namespace gypsumstep::edge
