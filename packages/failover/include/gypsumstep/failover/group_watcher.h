/// \file
/// Replaces the failed primary of one group; one instance in each daemon that homes a server of it.
#pragma once

#include "gypsumstep/base/random.h"
#include "gypsumstep/failover/claim_row_cache.h"
#include "gypsumstep/failover/election.h"
#include "gypsumstep/failover/suspicion.h"

#include <map>

namespace gypsumstep::failover {

/// Watches the homed servers of one group and acts as claimant when needed.
///
/// The daemon tells it every event and a \c tick at least every 50 ms, and carries
/// out the actions in their order. Answers may be lost, late, doubled and
/// reordered. Nothing here is safe because of timing: safety rests on the grant
/// registers and the rule of commit::commit_tracker alone.
template <failover_rules Rules = standard_rules>
class basic_group_watcher {
public:
    /// \param self this run of the daemon
    /// \param servers the whole group
    basic_group_watcher(daemon_id self, std::vector<server_id> servers, const settings& limits,
                        const random_source& random);

    /// Takes in one event and returns what to do.
    [[nodiscard]] actions step(const event& what, time_point now);

    /// The primary of the highest term known.
    [[nodiscard]] const primary_view& known_primary() const { return m_known; }

    /// The highest term that anything named.
    [[nodiscard]] term highest_term() const { return m_highest; }

    /// Whether the watcher acts without an order.
    [[nodiscard]] bool automation() const { return m_automation; }

    /// Whether a claim, election or hand-over is under way here.
    [[nodiscard]] bool in_round() const { return m_round.has_value(); }

    /// Whether a primary in office is still to be recorded in the platform's table.
    [[nodiscard]] bool record_pending() const { return m_recorder.pending(); }

private:
    /// A claim, then an election. Without an order it needs agreement until it fences.
    struct round {
        claim_id claim;
        time_point platform_deadline;
        time_point next_platform_send;
        std::optional<basic_election<Rules>> election;
    };

    struct pending_order {
        operator_order order;
        time_point deadline;
    };

    void handle(const tick& what, time_point now, actions& out);
    void handle(const homed_servers& what, time_point now, actions& out);
    void handle(const health_report& what, time_point now, actions& out);
    void handle(const grant_answer& what, time_point now, actions& out);
    void handle(const promote_answer& what, time_point now, actions& out);
    void handle(const claim_read& what, time_point now, actions& out);
    void handle(const claim_written& what, time_point now, actions& out);
    void handle(const suspicion& what, time_point now, actions& out);
    void handle(const announcement& what, time_point now, actions& out);
    void handle(const operator_order& what, time_point now, actions& out);
    void handle(const set_automation& what, time_point now, actions& out);

    void yield_to_rival(const health_report& what, time_point now);
    void resume_after_pause(time_point now);
    void learn(const primary_view& primary, time_point now, actions& out);
    void finish_order(order_outcome outcome, const std::string& reason, actions& out);
    void vote(time_point now, actions& out);

    [[nodiscard]] bool finishing(time_point now) const;
    [[nodiscard]] bool may_fence(time_point now) const;
    [[nodiscard]] term next_term() const;
    [[nodiscard]] std::optional<hand_over> planned_hand_over(time_point now) const;

    void see_row(const claim_row& row, time_point now, actions& out);
    void consider_start(time_point now);
    void begin_round(time_point now);
    void advance_claim(time_point now, actions& out);
    void open_election(time_point now);
    void advance_election(time_point now, actions& out);
    void give_up(election_status reason, time_point now);

    daemon_id m_self;
    std::vector<server_id> m_servers;
    settings m_settings;
    random_source m_random;
    suspicion_tracker m_suspicion;
    claim_row_cache m_claim_row_cache;
    claim_recorder m_recorder;
    primary_view m_known;
    term m_highest;
    bool m_automation{true};
    std::uint64_t m_claims{0};
    std::optional<round> m_round;
    std::optional<pending_order> m_order;
    bool m_start_planned{false};
    time_point m_not_before{time_point::min()};   ///< of the next round
    time_point m_finish_until{time_point::min()}; ///< servers were fenced without a new primary
    std::map<server_id, time_point> m_next_vote;  ///< of homed servers that suspect
    std::optional<time_point> m_last_step;
};

/// The watcher of production.
using group_watcher = basic_group_watcher<>;

extern template class basic_group_watcher<standard_rules>;

} // namespace gypsumstep::failover
