/// \file
/// Detects a failed primary from health reports and from votes of other homes.
#pragma once

#include "gypsumstep/failover/events.h"

#include <map>
#include <utility>

namespace gypsumstep::failover {

/// Keeps the reports of the homed servers and the votes of other homes.
class suspicion_tracker {
public:
    suspicion_tracker(std::size_t group_size, const settings& limits);

    /// Sets the homed servers. New ones count as healthy from \p now.
    void set_homed(const std::vector<server_id>& servers, time_point now);

    /// The homed servers in ascending order.
    [[nodiscard]] std::vector<server_id> homed() const;

    /// Whether \p server is homed here.
    [[nodiscard]] bool is_homed(server_id server) const { return m_homed.contains(server); }

    /// Stores a homed server's report. Reports of other servers are ignored.
    void report(const health_report& report, const primary_view& known, time_point now);

    /// Stores another home's vote.
    void vote(const suspicion& vote, time_point now);

    /// Discards reports, silence and votes, because there is a new primary or this VM was paused.
    void restart(time_point now);

    /// Whether the known primary has failed in the view of the homed \p server.
    [[nodiscard]] bool suspects(server_id server, const primary_view& known, time_point now) const;

    /// Whether the known primary has failed in the view of a majority of the group's servers, as
    /// their homes report it.
    [[nodiscard]] bool majority_suspects(const primary_view& known, time_point now) const;

    /// The last report of a homed server since the last restart.
    [[nodiscard]] std::optional<health_report> last_report(server_id server) const;

private:
    struct observation {
        time_point reported_at; ///< when the last report arrived
        std::optional<health_report> report;
        /// Since when the server has reported a term above that of the known primary.
        std::optional<time_point> disputed_since;
    };

    struct peer_vote {
        primary_view primary;
        time_point received_at;
        bool suspected{false};
    };

    std::size_t m_group_size;
    settings m_settings;
    time_point m_restarted_at; ///< silence before this time does not count
    std::map<server_id, observation> m_homed;
    std::map<std::pair<server_id, daemon_id>, peer_vote> m_votes;
};

} // namespace gypsumstep::failover
