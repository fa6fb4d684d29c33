/// \file
/// Accepts PostgreSQL clients and passes their statements to the home.
#pragma once

#include "client_session.h"
#include "daemon_metrics.h"
#include "messages.h"

#include "gypsumstep/base/random.h"
#include "gypsumstep/fleet/document.h"
#include "gypsumstep/settings/settings.h"

#include <QObject>
#include <QTcpServer>
#include <QTimer>

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace gypsumstep::daemon {

/// Listens for clients and owns their sessions. Runs on a thread of its own.
class client_listener : public QObject, public session_host {
public:
    client_listener(const settings::daemon_settings& settings, const fleet::document& document,
                    listener_home_channels& channels, daemon_metrics& metrics);
    ~client_listener() override;
    client_listener(const client_listener&) = delete;
    client_listener& operator=(const client_listener&) = delete;

    /// Starts to accept clients.
    /// \return false if the address cannot be bound
    [[nodiscard]] bool listen();

    /// Stops accepting clients and ends each session once its statement or
    /// transaction has finished; \p on_drained is called when no session is left.
    void begin_shutdown(std::function<void()> on_drained);

    /// Handles everything that waits in the channels.
    void drain();

    [[nodiscard]] const routing::group_view* find_group(const std::string& name) override;
    [[nodiscard]] bool send(client_session& sender, execute_request request) override;
    void release(const release_request& request) override;
    [[nodiscard]] intake::ledger& intake() override { return m_intake; }
    void enforce_intake() override;

private:
    /// Closes the sessions of \p verdicts.
    void drop(const std::vector<intake::verdict>& verdicts);
    void accept();
    void remove(session_id id);
    void deliver(execute_answer answer);
    void check_drained();

    /// A session that waits for the answer to a request.
    struct waiting_session {
        client_session* session{nullptr};
        group_id group;
        rank level{rank::last};
        time_point sent_at{};
    };

    settings::daemon_settings m_settings;
    intake::ledger m_intake;
    QTimer m_intake_timer;
    time_point m_drop_logged_at{};
    std::uint64_t m_unlogged_drops{0};
    listener_home_channels& m_channels;
    QTcpServer m_server;
    random_source m_random;
    std::map<std::string, routing::group_view> m_groups;
    std::map<group_id, std::string> m_group_names;
    std::unordered_map<session_id, std::unique_ptr<client_session>> m_sessions;
    std::unordered_map<request_id, waiting_session> m_waiting;
    daemon_metrics& m_metrics;
    std::function<void()> m_on_drained;
    std::uint64_t m_next_session{1};
    std::uint64_t m_next_request{1};
};

} // namespace gypsumstep::daemon
