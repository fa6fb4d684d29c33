/// \file
/// Holds operations of limited accounts back until a token permits them.
#pragma once

#include "gypsumstep/accounts/account_table.h"
#include "gypsumstep/adapter/node_settings.h"
#include "gypsumstep/allowance/participant.h"
#include "gypsumstep/base/ids.h"
#include "gypsumstep/metrics/registry.h"

#include <QObject>
#include <QTimer>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumstep::edge {

/// Connects allowance::participant to the clock, to the other daemons and to held operations.
/// Does nothing while no account has a rate.
class allowance_gate : public QObject {
public:
    /// Sends a message to another daemon.
    using sender = std::function<void(const std::string& daemon, const allowance::message&)>;

    /// Called once for each operation: with nothing if it may run, else with the error's text.
    using decided = std::function<void(const std::optional<std::string>& refusal)>;

    allowance_gate(const adapter::node_settings& settings, std::uint64_t seed,
                   metrics::registry& registry, sender send);

    /// True if an account has a rate.
    [[nodiscard]] static bool has_limits(const std::optional<accounts::account_table>& accounts);

    /// Replaces the accounts by those of the configuration in force.
    void set_accounts(const std::optional<accounts::account_table>& accounts);

    /// Replaces the listed daemons.
    void set_daemons(std::vector<homes::daemon_entry> daemons);

    /// True if this daemon's own announcement was listed. Before, it can be no keeper.
    [[nodiscard]] bool is_listed() const { return m_listed; }

    void on_message(const allowance::message& content);

    /// True if an account has a rate.
    [[nodiscard]] bool is_active() const { return m_active; }

    /// True if operations of the account need a token.
    [[nodiscard]] bool is_limited(std::string_view account) const
    {
        return m_participant.is_limited(account);
    }

    /// Starts an operation of a session, which has no other one that waits. Calls \p on_decided now
    /// or later.
    void start(const std::string& account, session_id session, decided on_decided);

    /// Forgets the waiting operation of a session, if there is one.
    void cancel(session_id session);

    /// Sets the gauges.
    void update_gauges();

private:
    /// Carries out what the last call decided, and schedules the next tick.
    void flush();
    void finish(const allowance::decision& made);
    void log_refusal(const allowance::decision& made);

    homes::daemon_entry m_self;
    allowance::participant m_participant;
    sender m_send;
    bool m_active{false};
    bool m_listed{false};
    std::map<std::uint64_t, decided> m_waiting; ///< by session
    QTimer m_timer;
    time_point m_next_refusal_log{};
    std::uint64_t m_unlogged_refusals{0};
    metrics::counter& m_granted;
    metrics::counter& m_refused;
    metrics::counter& m_waited;
    metrics::gauge& m_waiting_operations;
    metrics::gauge& m_part;
};

} // namespace gypsumstep::edge
