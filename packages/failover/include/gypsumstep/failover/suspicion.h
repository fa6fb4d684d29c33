/// \file
/// Detects a failed primary from health reports and the votes of other homes.
#pragma once

#include "gypsumstep/failover/events.h"

#include <map>
#include <utility>

namespace gypsumstep::failover {

/// Keeps what the homed servers report and what other homes vote.
class suspicion_tracker {
public:
    suspicion_tracker(std::size_t group_size, const settings& limits);

    /// Sets the homed servers; new ones count as healthy from \p now.
    void watch(const std::vector<server_id>& servers, time_point now);

    /// The homed servers in ascending order.
    [[nodiscard]] std::vector<server_id> homed() const;

    /// Whether \p server is homed here.
    [[nodiscard]] bool is_homed(server_id server) const { return m_homed.contains(server); }

    /// Takes in a homed server's report.
    void report(const health_report& report, const primary_view& known, time_point now);

    /// Takes in another home's vote.
    void vote(const suspicion& vote, time_point now);

    /// Forgets silence and votes: there is a new primary, or this VM was paused.
    void restart(time_point now);

    /// Whether the homed \p server's view is that the known primary has failed.
    [[nodiscard]] bool suspects(server_id server, const primary_view& known, time_point now) const;

    /// Whether the homes of a majority of the servers say that the known primary has failed.
    [[nodiscard]] bool majority_suspects(const primary_view& known, time_point now) const;

    /// The last report of a homed server since the last restart.
    [[nodiscard]] std::optional<health_report> last_report(server_id server) const;

private:
    struct observation {
        time_point at; ///< of the last report
        std::optional<health_report> report;
        std::optional<time_point> disputed_since; ///< a higher term is known to the server
    };

    struct peer_vote {
        primary_view primary;
        time_point at;
        bool suspected{false};
    };

    std::size_t m_group_size;
    settings m_settings;
    time_point m_restarted_at; ///< silence before this moment does not count
    std::map<server_id, observation> m_homed;
    std::map<std::pair<server_id, daemon_id>, peer_vote> m_votes;
};

} // namespace gypsumstep::failover
