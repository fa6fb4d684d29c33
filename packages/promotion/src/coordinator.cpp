#include "gypsumstep/promotion/coordinator.h"

#include "coordinator_times.h"

#include <algorithm>
#include <utility>

namespace gypsumstep::promotion {
namespace {

using detail::min_remaining_lease;
using detail::step_timeout;

/// Maximum random delay of the first call, so that one daemon calls before the others.
constexpr duration first_call_jitter = 250ms;

/// Timeout between the platform's acceptance of an order and the first answer of the new primary.
constexpr duration order_effect_timeout = 4s;

/// Minimum backoff before a new attempt; the actual one is random, up to twice as long.
constexpr duration retry_backoff = 400ms;

/// The same while this daemon does not know whether anything is left to settle.
constexpr duration first_settlement_backoff = 1s;

/// Number of surveys that are repeated because most servers did not answer.
constexpr std::uint32_t max_thin_surveys = 2;

/// Maximum number of orders under one claim; after that, a new target is chosen.
constexpr std::uint32_t max_orders_per_claim = 3;

} // namespace

coordinator::coordinator(std::string service, std::string daemon, std::uint64_t seed)
    : m_service{std::move(service)}, m_daemon{std::move(daemon)}, m_random{seed}
{
}

void coordinator::update(const group_state& group, time_point now)
{
    const bool same_primary = group.primary == m_group.primary;
    m_group = group;
    if (!std::exchange(m_was_updated, true) && m_group.old_primary_stops) {
        m_settlement_at = now + claim_lease + m_random.between(duration{0}, settlement_jitter);
    }
    // Without an answer, an earlier order may have made the target lead, and others may be open.
    const bool is_carried_out = m_step == step::ordered || !has_open_order();
    if (is_ordering() && m_group.primary == m_claim.target && is_carried_out &&
        !m_names_present_primary) {
        on_target_leads(now);
    }
    if (!awaits_order() && !choose_work(!same_primary && m_group.primary, now)) {
        return;
    }
    if (m_step == step::idle) {
        m_obstacle = "the promotion has begun";
        m_step = step::waiting;
        m_step_deadline = now + m_random.between(duration{0}, first_call_jitter);
    }
    if (m_step == step::resuming && !m_group.awaits_resume) {
        write_closed_claim(now);
    }
    if (now >= m_step_deadline) {
        on_step_deadline(now);
    }
}

bool coordinator::choose_work(bool has_new_primary, time_point now)
{
    // Without a primary a promotion that has begun goes on: its own claim may be the cause.
    const bool goes_on = !m_group.primary && in_progress();
    const std::string reason = goes_on ? m_reason : reason_to_promote();
    if (has_new_primary || reason.empty() != m_settling) {
        const bool was_settling = m_settling;
        finish(now);
        if (was_settling) {
            m_settlement_at = now;
        }
    }
    if (!reason.empty()) {
        m_reason = reason;
        return true;
    }
    if (m_settling) {
        return true;
    }
    if (!m_settlement_at || now < *m_settlement_at || !m_group.primary) {
        return false;
    }
    m_reason = "an earlier promotion is not settled";
    m_settling = true;
    m_step = step::waiting;
    m_step_deadline = now;
    return true;
}

void coordinator::on_step_deadline(time_point now)
{
    switch (m_step) {
    case step::waiting:
        begin_attempt(now);
        break;
    case step::awaiting_resumes:
        read_state(step::reading_claim, now);
        break;
    default:
        retry("a step of the promotion was not answered in time", now);
        break;
    }
}

bool coordinator::is_ordering() const
{
    return m_step == step::ordering || m_step == step::ordered;
}

bool coordinator::awaits_order() const
{
    if (!m_group.old_primary_stops || !is_ordering()) {
        return false;
    }
    // An order to promote may take effect even if the old primary answers again. One that only
    // makes earlier orders void is of no use once the primary that it names is lost or replaced.
    const bool is_obsolete =
        m_names_present_primary &&
        (!reason_to_promote().empty() || (m_group.primary && m_group.primary != m_claim.target));
    return !is_obsolete;
}

std::string coordinator::reason_to_promote() const
{
    if (m_group.replicas.empty() && m_group.other_members.empty()) {
        return {};
    }
    if (!m_group.primary) {
        return m_group.leaderless_confirmed && !may_be_unlisted() ? "no server leads the group"
                                                                  : "";
    }
    if (m_group.primary_draining &&
        (!m_group.replicas.empty() || m_group.primary_failing_for >= suspicion_delay)) {
        return "the primary is draining";
    }
    if (m_group.primary_failing_for >= suspicion_delay) {
        return "the primary does not answer";
    }
    return {};
}

bool coordinator::may_be_unlisted() const
{
    return !m_group.saw_primary && m_group.leaderless_for < unlisted_grace;
}

std::string_view coordinator::obstacle() const
{
    if (m_step != step::idle) {
        return m_obstacle;
    }
    if (m_group.replicas.empty() && m_group.other_members.empty()) {
        return "no server of the group is registered";
    }
    if (!m_group.primary && !m_group.leaderless_confirmed) {
        return "no list of the servers was read since the group is without a leader";
    }
    if (!m_group.primary && may_be_unlisted()) {
        return "a leader may only be missing from the list of the servers";
    }
    return "the primary has not failed for long enough";
}

bool coordinator::needs_quorum() const
{
    if (m_group.primary) {
        return !m_group.primary_draining;
    }
    return !m_group.saw_primary && m_group.leaderless_for < unlisted_delay;
}

bool coordinator::has_quorum(const shared_state& state) const
{
    const std::string primary = m_group.primary.value_or("");
    const auto suspecting = std::count_if(
        state.suspicions.begin(), state.suspicions.end(), [&](const suspicion& report) {
            return report.primary == primary && state.now - report.reported_at < suspicion_lifetime;
        });
    const std::size_t needed = std::max(min_suspicion_quorum, (state.daemons + 1) / 2);
    return static_cast<std::size_t>(suspecting) >= needed;
}

void coordinator::begin_attempt(time_point now)
{
    m_shared.reset();
    m_required.reset();
    m_replica_keeps_up = false;
    m_survey_claimed = false;
    m_replicas_paused = false;
    m_names_present_primary = false;
    if (!m_settling && needs_quorum()) {
        add_action(report_suspicion{m_group.primary.value_or("")});
    }
    read_state(step::reading, now);
}

void coordinator::read_state(step next, time_point now)
{
    m_step = next;
    m_step_deadline = now + step_timeout;
    m_read_at = now;
    add_action(read_shared_state{});
}

void coordinator::on_suspicion_written(call_outcome outcome, time_point now)
{
    if (outcome == call_outcome::failed && m_step == step::reading) {
        retry("the store did not take this daemon's suspicion", now);
    }
}

void coordinator::on_shared_state(const std::optional<shared_state>& state, time_point now)
{
    if (m_step != step::reading && m_step != step::reading_claim) {
        return;
    }
    if (!state) {
        retry("the store does not answer", now);
        return;
    }
    m_shared = state;
    learn_claim(state->current_claim);
    if (m_step == step::reading_claim) {
        if (!holds_claim(*state)) {
            retry("another daemon took the claim over", now);
        }
        else if (m_settling && !has_open_order()) {
            close_claim(now);
        }
        else {
            survey(now);
        }
        return;
    }
    if (m_settling) {
        begin_settlement(now);
        return;
    }
    if (state->current_claim && state->current_claim->holder != m_daemon &&
        is_leased(*state->current_claim, state->now)) {
        retry("another daemon holds the claim", now);
        return;
    }
    if (needs_quorum() && !has_quorum(*state)) {
        retry("too few daemons report that the group has no leader", now);
        return;
    }
    if (!m_group.old_primary_stops) {
        claim_lead(now);
        return;
    }
    if (state->current_claim && state->current_claim->holder == m_daemon &&
        state->current_claim->target.empty() && is_leased(*state->current_claim, state->now)) {
        const store_time age = state->now - state->current_claim->claimed_at;
        if (claim_lease - age < min_remaining_lease) {
            retry("the last survey found no target, and other daemons may try now", now);
            return;
        }
        m_claim = *state->current_claim;
        m_claimed_at = m_read_at - age;
        m_survey_claimed = true;
    }
    survey(now);
}

bool coordinator::is_leased(const claim& value, store_time now)
{
    // The store's clock never stands before a claim's time, unless it was set back with the store.
    return value.claimed_at <= now && now - value.claimed_at < claim_lease;
}

bool coordinator::on_store_rolled_back(time_point now)
{
    m_shared.reset();
    m_actions.clear();
    if (m_settlement_at) {
        m_settlement_at = std::max(*m_settlement_at, now + claims_restored_after);
    }
    if (m_step == step::idle || m_step == step::ordered) {
        return false;
    }
    const bool had_begun = m_step != step::waiting;
    m_obstacle = "the store went back, and lost claims may be written again";
    m_step = step::waiting;
    m_step_deadline = now + m_random.between(claims_restored_after,
                                             claims_restored_after + first_call_jitter * 2);
    return had_begun;
}

bool coordinator::holds_claim(const shared_state& state) const
{
    return state.current_claim && state.current_claim->holder == m_claim.holder &&
           state.current_claim->token == m_claim.token;
}

void coordinator::claim_lead(time_point now)
{
    claim next;
    next.former = former_primary();
    next.ordered = m_newest_claim.ordered;
    next.paused = m_newest_claim.paused;
    if (m_group.primary == next.former) {
        // It may be cut off from the daemons that wanted the promotion.
        m_excluded = next.former;
    }
    write(std::move(next), step::claiming_lead, now);
}

std::string coordinator::former_primary() const
{
    if (!m_shared->current_claim) {
        return m_group.primary.value_or("");
    }
    const claim& last = *m_shared->current_claim;
    return last.target.empty() ? last.former : last.target;
}

void coordinator::write(claim next, step following, time_point now)
{
    const std::uint64_t newest_token = m_shared->current_claim ? m_shared->current_claim->token : 0;
    next.holder = m_daemon;
    next.token = std::max(newest_token, m_shared->min_token) + 1;
    next.claimed_at = m_shared->now;
    m_claim = std::move(next);
    // It may be written although no answer arrives.
    m_newest_claim = m_claim;
    m_claimed_at = m_read_at;
    m_step = following;
    m_step_deadline = now + step_timeout;
    add_action(write_claim{m_claim, m_shared->claim_version});
}

void coordinator::on_handed_over(const hand_over_result& result, time_point now)
{
    if (m_step != step::handing_over) {
        return;
    }
    m_required = result.position;
    // The claim's version is needed for the next write, and it may have been taken over.
    read_state(step::reading_claim, now);
}

void coordinator::survey(time_point now)
{
    const bool primary_answers = m_group.primary_failing_for < suspicion_delay;
    const bool is_synchronous = m_group.sync_replicas > 0;
    if (is_synchronous && is_planned() && primary_answers && !m_replica_keeps_up) {
        check_replicas(now);
        return;
    }
    // Replicas that wait for the end of a stopped primary's log must go on receiving it. If none
    // reaches it, the next survey compares the logs as they are.
    const bool primary_stops = m_required || (is_planned() && primary_answers);
    m_replicas_paused = is_synchronous && (!primary_stops || m_no_target_found);
    if (m_replicas_paused && !m_survey_claimed) {
        claim_survey(now);
        return;
    }
    m_step = step::surveying;
    m_step_deadline = now + step_timeout;
    survey_replicas next;
    next.required = m_required;
    if (is_planned()) {
        next.reference = m_group.primary;
        next.demote = true;
    }
    next.pause = m_replicas_paused;
    next.servers = candidates();
    if (next.pause) {
        m_paused_until = m_claimed_at + claim_lease;
        next.exclusive_until = m_paused_until;
        for (const std::string& server : m_group.other_members) {
            if (std::find(next.servers.begin(), next.servers.end(), server) == next.servers.end()) {
                next.servers.push_back(server);
            }
        }
    }
    add_action(std::move(next));
}

void coordinator::claim_survey(time_point now)
{
    m_takes_over = m_shared->current_claim && m_shared->current_claim->holder != m_daemon;
    if (m_group.old_primary_stops) {
        claim next;
        next.ordered = m_newest_claim.ordered;
        next.paused = true;
        write(std::move(next), step::claiming_survey, now);
        return;
    }
    // The hand-over may have taken most of the lease. The token stays, as the lead was handed over
    // under it.
    m_claim.claimed_at = m_shared->now;
    m_claim.paused = true;
    m_newest_claim = m_claim;
    m_claimed_at = m_read_at;
    m_step = step::claiming_survey;
    m_step_deadline = now + step_timeout;
    add_action(write_claim{m_claim, m_shared->claim_version});
}

bool coordinator::is_planned() const
{
    return m_group.old_primary_stops && m_group.primary && m_group.primary_draining && !m_settling;
}

void coordinator::check_replicas(time_point now)
{
    m_step = step::checking;
    m_step_deadline = now + step_timeout;
    survey_replicas next;
    next.servers = m_group.replicas;
    next.reference = m_group.primary;
    add_action(std::move(next));
}

void coordinator::on_replicas_checked(const survey_result& result, time_point now)
{
    m_replica_keeps_up =
        result.required && std::any_of(result.answers.begin(), result.answers.end(),
                                       [&result](const survey_answer& answer) {
                                           return answer.status &&
                                                  answer.status->received >= *result.required;
                                       });
    if (m_replica_keeps_up) {
        survey(now);
        return;
    }
    // No ready replica could lead without a loss, so the primary is not stopped yet.
    retry("no ready replica keeps up with the draining primary", now);
}

std::vector<std::string> coordinator::candidates() const
{
    // A draining server leads better than none.
    const std::vector<std::string>& members =
        m_group.replicas.empty() ? m_group.other_members : m_group.replicas;
    std::vector<std::string> servers = members;
    if (!m_no_target_found) {
        std::erase(servers, m_excluded);
    }
    return servers.empty() ? members : servers;
}

bool coordinator::is_ready(const std::string& server) const
{
    return std::find(m_group.replicas.begin(), m_group.replicas.end(), server) !=
           m_group.replicas.end();
}

void coordinator::on_survey(const survey_result& result, time_point now)
{
    if (m_step == step::checking) {
        on_replicas_checked(result, now);
        return;
    }
    if (m_step != step::surveying) {
        return;
    }
    m_answers = result.answers;
    m_required = result.required;
    claim_if_target_found(now);
}

void coordinator::claim_if_target_found(time_point now)
{
    const auto answered =
        std::count_if(m_answers.begin(), m_answers.end(),
                      [](const survey_answer& answer) { return answer.status.has_value(); });
    if (static_cast<std::size_t>(answered) * 2 < m_answers.size() &&
        m_thin_surveys < max_thin_surveys) {
        // A server that did not answer may have received more.
        ++m_thin_surveys;
        retry("most servers did not answer the survey", now);
        return;
    }
    if (m_settling) {
        claim_settlement_target(now);
        return;
    }
    const auto target = best_replica();
    m_no_target_found = !target;
    if (!target) {
        m_rejected_target.reset();
        retry("no server that answered is sure to hold every acknowledged commit", now);
        return;
    }
    claim next;
    next.target = *target;
    next.former = m_group.old_primary_stops ? std::string{} : m_claim.former;
    next.ordered = ordered_with(next.target);
    next.paused = m_replicas_paused || m_newest_claim.paused;
    write(std::move(next), step::claiming, now);
}

std::optional<std::string> coordinator::best_replica() const
{
    const survey_answer* best = nullptr;
    for (const survey_answer& answer : m_answers) {
        if (!answer.status || answer.server == m_rejected_target ||
            !is_sure_to_hold_commits(answer.status->received)) {
            continue;
        }
        if (answer.server == m_claim.former && answer.server != m_excluded &&
            !m_group.old_primary_stops) {
            // An order to promote it may still be carried out, after any later one.
            return answer.server;
        }
        const bool was_ordered = is_newest_ordered(answer.server);
        if (was_ordered && m_group.sync_replicas > 0) {
            // An order to promote it may be carried out just before a later one.
            return answer.server;
        }
        const bool ready = is_ready(answer.server);
        if (best == nullptr || (ready && !is_ready(best->server)) ||
            (ready == is_ready(best->server) &&
             (answer.status->received > best->status->received ||
              (answer.status->received == best->status->received && was_ordered)))) {
            best = &answer;
        }
    }
    return best == nullptr ? std::nullopt : std::optional{best->server};
}

bool coordinator::is_sure_to_hold_commits(const log_position& received) const
{
    if (m_group.sync_replicas == 0 || (m_required && received >= *m_required)) {
        return true;
    }
    // A commit is acknowledged once sync_replicas replicas hold it. Only if fewer replicas than
    // that are silent, and none can receive more, the log that received most is sure to contain
    // every acknowledged commit.
    std::size_t silent = 0;
    for (const survey_answer& answer : m_answers) {
        if (!answer.status) {
            silent += answer.server == m_excluded ? 0 : 1;
        }
        else if (answer.status->received > received) {
            return false;
        }
    }
    return m_replicas_paused && silent < m_group.sync_replicas;
}

void coordinator::on_claim_written(call_outcome outcome, time_point now)
{
    if (m_step == step::closing) {
        if (outcome == call_outcome::done) {
            m_newest_claim = m_claim;
            m_settlement_at.reset();
            finish(now);
        }
        else {
            retry("the claim was not written", now);
        }
        return;
    }
    if (m_step != step::claiming && m_step != step::claiming_lead &&
        m_step != step::claiming_survey) {
        return;
    }
    if (outcome == call_outcome::conflict) {
        learn_claim(m_shared->current_claim);
    }
    else if (outcome == call_outcome::failed) {
        m_claim_may_follow = true;
    }
    if (outcome != call_outcome::done) {
        retry("the claim was not written", now);
        return;
    }
    if (m_step == step::claiming_survey) {
        m_survey_claimed = true;
        if (m_takes_over) {
            m_step = step::awaiting_resumes;
            m_step_deadline = now + resume_permit + resume_transit;
            return;
        }
        read_state(step::reading_claim, now);
        return;
    }
    if (m_step == step::claiming_lead) {
        m_step = step::handing_over;
        m_step_deadline = now + claim_exchange::release_timeout + step_timeout;
        add_action(hand_over_lead{{m_service, m_claim.token, m_claim.target}, m_claim.former});
        return;
    }
    m_orders_sent = 0;
    send_order(now);
}

void coordinator::send_order(time_point now)
{
    if (!may_order(now)) {
        retry("the claim is too old for an order", now);
        return;
    }
    ++m_orders_sent;
    m_step = step::ordering;
    m_step_deadline = now + step_timeout;
    add_action(order_promotion{m_claim.target, m_claim.token});
}

bool coordinator::may_order(time_point now) const
{
    // This process may have been suspended since it claimed, and another daemon may hold the claim.
    // A platform that stops the old primary also refuses the old claim's token, but servers that
    // were paused for the survey may receive the log again.
    const bool is_respected =
        m_group.old_primary_stops || now - m_read_at < claim_lease - order_margin;
    const bool is_paused = !m_replicas_paused || now < m_paused_until - order_margin;
    return is_respected && is_paused;
}

void coordinator::on_order(call_outcome outcome, time_point now)
{
    if (m_step != step::ordering) {
        return;
    }
    switch (outcome) {
    case call_outcome::done:
        m_step = step::ordered;
        m_step_deadline = now + order_effect_timeout;
        if (m_names_present_primary && m_group.primary == m_claim.target) {
            on_target_leads(now);
        }
        break;
    case call_outcome::conflict:
        m_rejected_target = m_claim.target;
        retry("the platform refused the target", now);
        break;
    case call_outcome::failed:
        if (m_orders_sent >= max_orders_per_claim || prefers_present_primary()) {
            retry("the platform did not answer the order", now);
            break;
        }
        // Repeating the order is safe: with the same token it takes effect only once.
        send_order(now);
        break;
    }
}

std::vector<action> coordinator::take_actions()
{
    return std::exchange(m_actions, {});
}

void coordinator::retry(const char* obstacle, time_point now)
{
    m_obstacle = obstacle;
    m_step = step::waiting;
    const duration backoff =
        m_settling && m_newest_claim.is_settled() ? first_settlement_backoff : retry_backoff;
    m_step_deadline = now + m_random.between(backoff, backoff * 2);
}

void coordinator::finish(time_point now)
{
    if (in_progress() && m_group.old_primary_stops) {
        // Another daemon may have claimed meanwhile, and be lost before it settles its order.
        m_settlement_at =
            settles_own_claim()
                ? now
                : now + claim_lease + m_random.between(duration{0}, settlement_jitter);
    }
    m_step = step::idle;
    m_settling = false;
    m_reason.clear();
    m_rejected_target.reset();
    m_excluded.clear();
    m_no_target_found = false;
    m_replica_keeps_up = false;
    m_thin_surveys = 0;
    m_actions.clear();
}

} // namespace gypsumstep::promotion
