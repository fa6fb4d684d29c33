/// \file
/// Replaces the failed primary of one group. Each daemon that is a home of one of the group's
/// servers has one instance.
#pragma once

#include "gypsumstep/base/random.h"
#include "gypsumstep/failover/claim_row_cache.h"
#include "gypsumstep/failover/election.h"
#include "gypsumstep/failover/suspicion.h"

#include <map>

namespace gypsumstep::failover {

/// Watches the homed servers of one group and acts as claimant when needed.
///
/// The daemon passes it every event, and a \c tick at least every 50 ms, and carries out the
/// returned actions in order. Answers may be lost, delayed, duplicated and reordered. Safety
/// does not depend on timing, only on the grant registers and on the rule of
/// commit::commit_tracker.
template <failover_rules Rules = standard_rules>
class basic_group_watcher {
public:
    /// \param self id of this daemon; a restarted daemon has a new one
    /// \param servers all servers of the group
    basic_group_watcher(daemon_id self, std::vector<server_id> servers, const settings& limits,
                        const random_source& random);

    /// Handles one event and returns the actions to carry out.
    [[nodiscard]] actions step(const event& input, time_point now);

    /// The primary of the highest term known.
    [[nodiscard]] const primary_view& known_primary() const { return m_known; }

    /// The highest term named in any event.
    [[nodiscard]] term highest_term() const { return m_highest; }

    /// Whether the watcher replaces a failed primary without an operator's order.
    [[nodiscard]] bool automation() const { return m_automation; }

    /// Whether this watcher has a claim, election or hand-over in progress.
    [[nodiscard]] bool in_round() const { return m_round.has_value(); }

    /// Whether a primary has not been recorded in the platform's table yet.
    [[nodiscard]] bool record_pending() const { return m_recorder.pending(); }

private:
    /// A claim, followed by an election. Without an operator's order, a majority must suspect the
    /// primary until the round starts to fence servers.
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

    void handle(const tick& elapsed, time_point now, actions& out);
    void handle(const homed_servers& homed, time_point now, actions& out);
    void handle(const health_report& report, time_point now, actions& out);
    void handle(const grant_answer& answer, time_point now, actions& out);
    void handle(const promote_answer& answer, time_point now, actions& out);
    void handle(const claim_read& answer, time_point now, actions& out);
    void handle(const claim_written& answer, time_point now, actions& out);
    void handle(const suspicion& peer_vote, time_point now, actions& out);
    void handle(const announcement& announced, time_point now, actions& out);
    void handle(const operator_order& order, time_point now, actions& out);
    void handle(const set_automation& request, time_point now, actions& out);

    void yield_to_rival(const health_report& report, time_point now);
    void resume_after_pause(time_point now);
    void adopt_primary(const primary_view& primary, time_point now, actions& out);
    void finish_order(order_outcome outcome, const std::string& reason, actions& out);
    void vote(time_point now, actions& out);

    [[nodiscard]] bool must_finish(time_point now) const;
    [[nodiscard]] bool may_fence(time_point now) const;
    [[nodiscard]] term next_term() const;
    [[nodiscard]] std::optional<hand_over> planned_hand_over(time_point now) const;

    void on_claim_row(const claim_row& row, time_point now, actions& out);
    void start_if_needed(time_point now);
    void begin_round(time_point now);
    void advance_claim(time_point now, actions& out);
    void open_election(time_point now);
    void advance_election(time_point now, actions& out);
    void abandon_round(election_status reason, time_point now);

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
    time_point m_not_before{time_point::min()};   ///< earliest start of the next round
    time_point m_finish_until{time_point::min()}; ///< end of retries after servers were fenced
    std::map<server_id, time_point> m_next_vote;  ///< by homed server that suspects the primary
    std::optional<time_point> m_last_step;
};

/// The watcher with the rules used in production.
using group_watcher = basic_group_watcher<>;

extern template class basic_group_watcher<standard_rules>;

} // namespace gypsumstep::failover
