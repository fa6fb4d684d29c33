/// \file
/// Forwards sessions of this daemon's clients to the daemons that serve them.
#pragma once

#include "client_listener.h"

#include "gypsumstep/base/random.h"
#include "gypsumstep/homes/forwarded_session.h"
#include "gypsumstep/homes/home_table.h"
#include "gypsumstep/proxy/shutdown_schedule.h"

#include <QTcpSocket>
#include <QTimer>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gypsumstep::edge {

/// How the operations of forwarded sessions are limited. Without functions they are not.
struct operation_limits {
    /// Returns the account whose operations need a token; nothing if they need none.
    std::function<std::optional<std::string>(const adapter::start_message&)> limited_account;
    /// Starts an operation of a session and reports now or later whether it may run: nothing, or
    /// the text of the refusal.
    std::function<void(const std::string& account, session_id,
                       std::function<void(const std::optional<std::string>&)>)>
        start;
    /// The session does not wait any more.
    std::function<void(session_id)> cancel;
};

/// What the configuration in force says about the next operation of a forwarded session.
struct operation_terms {
    /// Why the operation is refused; none if it is not.
    statement::error_class refusal{statement::error_class::none};
    duration statement_timeout{0};

    friend bool operator==(const operation_terms&, const operation_terms&) = default;
};

/// Most statements of a session that wait for the end of an earlier one or for a token.
inline constexpr std::size_t max_held_statements = 16;

/// Passes lines between clients and homes, one connection to a home for each session.
class session_forwarder : public QObject {
public:
    /// \param terms_of what the configuration in force says about the session with this start
    /// \param serve_here starts a session on this daemon, which is a home as well, since the homes
    ///     that its account prefers did not accept it
    session_forwarder(client_listener& clients, homes::home_table& homes, std::uint64_t seed,
                      std::function<operation_terms(const adapter::start_message&)> terms_of,
                      std::function<void(session_id, const adapter::start_message&)> serve_here,
                      operation_limits limits = {});

    /// The database that a session asks for, its group, and how long a statement may take.
    struct session_request {
        adapter::start_message start;
        std::string service;
        std::uint32_t max_connections{0};
        duration statement_timeout{0};
        homes::account_traffic account{}; ///< without a name if the client has no account
    };

    /// Forwards a session that a client of this daemon just started. Tries the homes in turn
    /// until one accepts the session.
    void forward(session_id id, session_request request);

    /// True if the session is forwarded.
    [[nodiscard]] bool is_forwarded(session_id id) const { return m_sessions.contains(id); }

    void on_client_closed(session_id id);

    /// Ends sessions whose home no longer answers; during a shutdown closes idle sessions.
    void on_tick(time_point now);

    /// Returns the longest time until the next call of on_tick().
    [[nodiscard]] duration tick_interval() const;

    /// Starts to close sessions, each after a random delay of at most proxy::session_close_window:
    /// idle ones, and busy ones with an answer. At the end of the shutdown, statements that the
    /// homes have not answered are answered with an error.
    void begin_shutdown(const proxy::shutdown_schedule& schedule, time_point now);

    [[nodiscard]] std::size_t session_count() const { return m_sessions.size(); }

private:
    /// A statement that is not sent to the home yet.
    struct held_statement {
        std::string line;
        statement::statement request;
    };

    struct session_entry {
        session_request request;
        std::vector<homes::daemon_entry> home_order;
        std::size_t next_home{0};
        std::string home;
        QTcpSocket* socket{nullptr};
        adapter::line_splitter splitter;
        homes::forwarded_session tracker;
        bool started{false};         ///< a home has accepted the session
        time_point start_deadline{}; ///< for the current home to accept the session
        time_point last_used{};      ///< when its client or its home last sent something
        time_point close_time{};     ///< during a shutdown: closed from then on, once it may be
        std::deque<held_statement> held;
        bool awaits_token{false}; ///< for the first held statement
    };

    void try_next_home(session_id id);
    void hand_back(session_id id);
    void on_client_line(session_id id, const std::string& line);
    /// Sends a statement to the home, or refuses it.
    void pass_statement(session_id id, const held_statement& passed);
    /// Applies the configuration in force to a session's next operation; returns whether it may
    /// run.
    bool apply_terms(session_id id, const statement::statement& request);
    /// Passes held statements on as far as the session's state and its account's limit permit.
    void release_held(session_id id);
    void on_token_decided(session_id id, const std::optional<std::string>& refusal);
    void read_from_home(session_id id);
    /// Handles a line from the home; true if the home refused the session and was given up.
    bool on_home_line(session_id id, session_entry& session, const std::string& line);
    void on_home_failed(session_id id, const std::string& cause);
    [[nodiscard]] bool may_close(const session_entry& session, time_point now) const;
    void answer_and_end(session_id id);
    void refuse_and_end(session_id id, statement::error_class kind, const char* text);
    void end_session(session_id id);
    void close_home_socket(session_entry& session);

    client_listener& m_clients;
    homes::home_table& m_homes;
    random_source m_random;
    std::function<operation_terms(const adapter::start_message&)> m_terms_of;
    std::function<void(session_id, const adapter::start_message&)> m_serve_here;
    operation_limits m_limits;
    std::map<session_id, std::unique_ptr<session_entry>> m_sessions;
    std::uint64_t m_next_turn; ///< spreads sessions over homes that are equally near
    std::optional<proxy::shutdown_schedule> m_shutdown;
};

} // namespace gypsumstep::edge
