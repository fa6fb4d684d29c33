/// \file
/// Member functions of basic_group_watcher; included where the template is instantiated.
#pragma once

#include "gypsumstep/failover/group_watcher.h"

namespace gypsumstep::failover {

template <failover_rules Rules>
basic_group_watcher<Rules>::basic_group_watcher(daemon_id self, std::vector<server_id> servers,
                                                const settings& limits, const random_source& random)
    : m_self{self}, m_servers{std::move(servers)}, m_settings{limits}, m_random{random},
      m_suspicion{m_servers.size(), limits}
{
}

template <failover_rules Rules>
actions basic_group_watcher<Rules>::step(const event& input, time_point now)
{
    actions out;
    if (m_last_step && now - *m_last_step > m_settings.pause_threshold) {
        resume_after_pause(now);
    }
    m_last_step = now;
    std::visit([&](const auto& value) { handle(value, now, out); }, input);
    vote(now, out);
    start_if_needed(now);
    advance_claim(now, out);
    advance_election(now, out);
    m_recorder.advance(m_claim_row_cache, m_settings, now, out);
    if (m_order && now >= m_order->deadline) {
        finish_order(order_outcome::failed, "no primary took office in time", out);
    }
    return out;
}

template <failover_rules Rules>
void basic_group_watcher<Rules>::handle(const tick&, time_point, actions&)
{
}

template <failover_rules Rules>
void basic_group_watcher<Rules>::handle(const homed_servers& homed, time_point now, actions&)
{
    m_suspicion.set_homed(homed.servers, now);
}

template <failover_rules Rules>
void basic_group_watcher<Rules>::handle(const health_report& report, time_point now, actions& out)
{
    yield_to_rival(report, now);
    m_highest = std::max({m_highest, report.granted, report.highest_seen});
    m_suspicion.report(report, m_known, now);
    if (report.primary.primary_term > m_known.primary_term) {
        adopt_primary(report.primary, now, out);
        if (report.role == server_role::primary) {
            // The claimant may have died after the promotion, so announce and record the primary
            // in its place.
            out.emplace_back(announce{m_known, {}});
            m_recorder.start(m_known, {m_self, ++m_claims}, now + m_settings.record_timeout);
        }
    }
    else if (report.primary.primary_term < m_known.primary_term) {
        out.emplace_back(follow_primary{report.server, m_known});
    }
}

template <failover_rules Rules>
void basic_group_watcher<Rules>::yield_to_rival(const health_report& report, time_point now)
{
    // An open claim in the platform's table is covered by claim_timeout.
    const term claimed = m_claim_row_cache.known() ? m_claim_row_cache.row().claimed : term{};
    const bool rival = report.granted > std::max({m_highest, m_known.primary_term, claimed});
    if (!rival || m_order || (m_round && m_round->election)) {
        return;
    }
    // Another claimant is collecting grants; a round with a higher term would only split them.
    const duration backoff = m_settings.retry_backoff;
    m_round.reset();
    m_start_planned = true;
    m_not_before = std::max(m_not_before, now + m_random.between(backoff, 2 * backoff));
}

template <failover_rules Rules>
void basic_group_watcher<Rules>::handle(const grant_answer& answer, time_point now, actions&)
{
    m_highest = std::max(m_highest, answer.highest);
    if (m_round && m_round->election) {
        m_round->election->answer(answer, now);
    }
}

template <failover_rules Rules>
void basic_group_watcher<Rules>::handle(const promote_answer& answer, time_point, actions&)
{
    m_highest = std::max(m_highest, answer.highest);
    if (m_round && m_round->election) {
        m_round->election->answer(answer);
    }
}

template <failover_rules Rules>
void basic_group_watcher<Rules>::handle(const claim_read& answer, time_point now, actions& out)
{
    if (answer.status == platform_status::done) {
        on_claim_row(answer.row, now, out);
    }
}

template <failover_rules Rules>
void basic_group_watcher<Rules>::handle(const claim_written& answer, time_point now, actions& out)
{
    if (answer.status != platform_status::unavailable) {
        on_claim_row(answer.row, now, out);
    }
    m_recorder.answered(answer, now);
}

template <failover_rules Rules>
void basic_group_watcher<Rules>::handle(const suspicion& peer_vote, time_point now, actions& out)
{
    if (peer_vote.primary.primary_term < m_known.primary_term) {
        out.emplace_back(announce{m_known, peer_vote.from});
    }
    adopt_primary(peer_vote.primary, now, out);
    m_suspicion.vote(peer_vote, now);
}

template <failover_rules Rules>
void basic_group_watcher<Rules>::handle(const announcement& announced, time_point now, actions& out)
{
    adopt_primary(announced.primary, now, out);
}

template <failover_rules Rules>
void basic_group_watcher<Rules>::handle(const operator_order& order, time_point now, actions& out)
{
    const bool valid = !order.target || std::find(m_servers.begin(), m_servers.end(),
                                                  *order.target) != m_servers.end();
    const auto refuse = [&](const char* reason) {
        out.emplace_back(order_finished{order.order, order_outcome::refused, reason, m_known});
    };
    if (!valid) {
        refuse("the target is not a server of this group");
    }
    else if (m_round || m_order) {
        refuse("another round is under way");
    }
    else if (order.target && m_known.is_primary(*order.target)) {
        out.emplace_back(order_finished{order.order, order_outcome::done, "already so", m_known});
    }
    else {
        m_order = pending_order{order, now + m_settings.order_timeout};
        begin_round(now);
    }
}

template <failover_rules Rules>
void basic_group_watcher<Rules>::handle(const set_automation& request, time_point, actions&)
{
    m_automation = request.enabled;
}

/// Discards what was reported before a pause of this VM: it is out of date.
template <failover_rules Rules>
void basic_group_watcher<Rules>::resume_after_pause(time_point now)
{
    m_suspicion.restart(now);
    m_round.reset();
    m_start_planned = false;
    m_finish_until = time_point::min();
}

template <failover_rules Rules>
void basic_group_watcher<Rules>::adopt_primary(const primary_view& primary, time_point now,
                                               actions& out)
{
    if (primary.primary_term <= m_known.primary_term) {
        return;
    }
    m_known = primary;
    m_highest = std::max(m_highest, primary.primary_term);
    m_suspicion.restart(now);
    m_recorder.observe(primary);
    m_round.reset();
    m_start_planned = false;
    m_finish_until = time_point::min();
    for (const server_id server : m_suspicion.homed()) {
        out.emplace_back(follow_primary{server, primary});
    }
    if (m_order) {
        const auto& target = m_order->order.target;
        const bool wanted = !target || *target == primary.server;
        finish_order(wanted ? order_outcome::done : order_outcome::superseded,
                     wanted ? "" : "another server took office", out);
    }
}

template <failover_rules Rules>
void basic_group_watcher<Rules>::finish_order(order_outcome outcome, const std::string& reason,
                                              actions& out)
{
    out.emplace_back(order_finished{m_order->order.order, outcome, reason, m_known});
    m_order.reset();
}

/// Sends the homed servers' votes to the other watchers. Reads the claim row at the first
/// suspicion, so that it is known by the time of a claim.
template <failover_rules Rules>
void basic_group_watcher<Rules>::vote(time_point now, actions& out)
{
    for (const server_id server : m_suspicion.homed()) {
        const bool suspected = m_suspicion.suspects(server, m_known, now);
        const auto next = m_next_vote.find(server);
        const bool voted = next != m_next_vote.end();
        if (suspected && !voted) {
            out.emplace_back(read_claim{});
        }
        if (suspected ? (!voted || now >= next->second) : voted) {
            out.emplace_back(send_suspicion{{m_self, server, m_known, suspected}});
            m_next_vote[server] = now + m_settings.vote_interval;
        }
        if (!suspected) {
            m_next_vote.erase(server);
        }
    }
}

/// Whether this watcher fenced servers and no server is known to have become primary since.
template <failover_rules Rules>
bool basic_group_watcher<Rules>::must_finish(time_point now) const
{
    return now < m_finish_until;
}

template <failover_rules Rules>
bool basic_group_watcher<Rules>::may_fence(time_point now) const
{
    return m_order || must_finish(now) ||
           (m_automation && m_suspicion.majority_suspects(m_known, now));
}

template <failover_rules Rules>
term basic_group_watcher<Rules>::next_term() const
{
    term highest = std::max(m_highest, m_known.primary_term);
    if (m_claim_row_cache.known() && m_claim_row_cache.row().claim.claimant != m_self) {
        highest = std::max(highest, m_claim_row_cache.row().claimed);
    }
    return highest.next();
}

template <failover_rules Rules>
std::optional<hand_over> basic_group_watcher<Rules>::planned_hand_over(time_point now) const
{
    const bool primary_works =
        m_known.primary_term > term{} && !m_suspicion.majority_suspects(m_known, now);
    if (!m_order || !primary_works || must_finish(now)) {
        return std::nullopt;
    }
    for (const server_id server : m_servers) {
        if (!m_known.is_primary(server) && m_order->order.target.value_or(server) == server) {
            return hand_over{m_known.server, server};
        }
    }
    return std::nullopt;
}

template <failover_rules Rules>
void basic_group_watcher<Rules>::on_claim_row(const claim_row& row, time_point now, actions& out)
{
    m_claim_row_cache.update(row, now);
    if (m_claim_row_cache.row().phase == claim_phase::recorded) {
        adopt_primary(m_claim_row_cache.row().primary, now, out);
    }
    if (!m_round || m_round->election) {
        return;
    }
    if (m_claim_row_cache.row().claim == m_round->claim) {
        open_election(now);
        return;
    }
    const time_point held = m_claim_row_cache.held_until(m_self, m_known, m_settings.claim_timeout);
    if (now >= held) {
        m_round->next_platform_send = now;
        return;
    }
    m_round.reset();
    m_start_planned = true;
    m_not_before = held + m_random.between(duration{0}, m_settings.start_jitter);
}

template <failover_rules Rules>
void basic_group_watcher<Rules>::start_if_needed(time_point now)
{
    if (m_round) {
        return;
    }
    if (!may_fence(now)) {
        m_start_planned = false;
        return;
    }
    if (!m_start_planned) {
        m_start_planned = true;
        m_not_before =
            std::max(m_not_before, now + m_random.between(duration{0}, m_settings.start_jitter));
    }
    const time_point held = m_claim_row_cache.held_until(m_self, m_known, m_settings.claim_timeout);
    if (now >= m_not_before && now >= held) {
        begin_round(now);
    }
}

template <failover_rules Rules>
void basic_group_watcher<Rules>::begin_round(time_point now)
{
    m_round.emplace(
        round{{m_self, ++m_claims}, now + m_settings.platform_timeout, now, std::nullopt});
}

template <failover_rules Rules>
void basic_group_watcher<Rules>::advance_claim(time_point now, actions& out)
{
    if (!m_round || m_round->election) {
        return;
    }
    if (!may_fence(now)) {
        m_round.reset();
        return;
    }
    const bool may_skip =
        m_order || m_settings.platform_down_policy == platform_policy::proceed_by_grants;
    if (may_skip && now >= m_round->platform_deadline) {
        open_election(now);
        return;
    }
    if (now < m_round->next_platform_send) {
        return;
    }
    m_round->next_platform_send = now + m_settings.platform_retry_interval;
    if (m_claim_row_cache.known()) {
        // Repeating the write after a lost answer is harmless: the conflict returns the stored row,
        // which has this claim.
        out.emplace_back(write_claim{{m_claim_row_cache.row().version + 1, next_term(),
                                      m_round->claim, claim_phase::claimed, m_known}});
    }
    else {
        out.emplace_back(read_claim{});
    }
}

template <failover_rules Rules>
void basic_group_watcher<Rules>::open_election(time_point now)
{
    if (!may_fence(now)) {
        m_round.reset();
        return;
    }
    const election_plan plan{next_term(), m_round->claim, m_servers, planned_hand_over(now)};
    m_highest = plan.requested_term; // a later round never requests this term again
    m_round->election.emplace(plan, m_settings, now);
}

template <failover_rules Rules>
void basic_group_watcher<Rules>::advance_election(time_point now, actions& out)
{
    if (!m_round || !m_round->election) {
        return;
    }
    basic_election<Rules>& current_election = *m_round->election;
    current_election.advance(now, out);
    if (current_election.status() == election_status::running) {
        return;
    }
    if (current_election.status() == election_status::promoted) {
        const primary_view winner = current_election.winner();
        adopt_primary(winner, now, out);
        out.emplace_back(announce{winner, {}});
        m_recorder.start(winner, {m_self, ++m_claims}, now);
        m_recorder.advance(m_claim_row_cache, m_settings, now, out);
        return;
    }
    abandon_round(current_election.status(), now);
}

template <failover_rules Rules>
void basic_group_watcher<Rules>::abandon_round(election_status reason, time_point now)
{
    m_round.reset();
    m_start_planned = true;
    if (reason == election_status::lost) {
        // The winner needs time to promote a server; a higher term would fence that server again.
        const duration backoff = m_settings.retry_backoff;
        m_not_before = now + m_random.between(backoff, 2 * backoff);
    }
    else {
        m_not_before = now + m_random.between(duration{0}, m_settings.start_jitter);
    }
    m_finish_until = now + m_settings.finish_timeout;
}

} // namespace gypsumstep::failover
