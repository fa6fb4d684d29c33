// Settles the orders and pauses of earlier promotions, of this daemon and of lost ones.
#include "gypsumstep/promotion/coordinator.h"

#include "coordinator_times.h"

#include <algorithm>
#include <utility>

namespace gypsumstep::promotion {
namespace {

using detail::min_remaining_lease;
using detail::step_timeout;

/// A claim without an answer is looked for once more after this time, in which the store carries
/// out late writes: the platform speaks of seconds.
constexpr duration late_write_limit = 15s;

} // namespace

bool coordinator::prefers_present_primary() const
{
    return m_group.old_primary_stops && m_group.sync_replicas == 0 && m_group.primary &&
           !m_names_present_primary && reason_to_promote().empty();
}

void coordinator::learn_claim(const std::optional<claim>& current)
{
    m_newest_claim = current.value_or(claim{});
    if (m_newest_claim.token <= m_settled_token) {
        m_newest_claim.ordered.clear();
    }
}

void coordinator::on_target_leads(time_point now)
{
    // A copy of an answered order changes nothing, and the platform refuses the older ones.
    m_settled_token = m_claim.token;
    m_newest_claim.ordered.clear();
    finish(now);
    if (m_group.old_primary_stops) {
        m_settlement_at = now;
    }
}

bool coordinator::settles_own_claim() const
{
    return m_newest_claim.holder == m_daemon && !m_newest_claim.is_settled();
}

bool coordinator::has_open_order() const
{
    // A copy of an order to promote the present primary changes nothing.
    return std::any_of(m_newest_claim.ordered.begin(), m_newest_claim.ordered.end(),
                       [this](const std::string& server) { return server != m_group.primary; });
}

bool coordinator::is_newest_ordered(const std::string& server) const
{
    return !m_newest_claim.ordered.empty() && m_newest_claim.ordered.back() == server;
}

std::vector<std::string> coordinator::ordered_with(const std::string& server) const
{
    std::vector<std::string> servers = m_newest_claim.ordered;
    std::erase(servers, server);
    servers.push_back(server);
    return servers;
}

void coordinator::begin_settlement(time_point now)
{
    const auto& last = m_shared->current_claim;
    if (!last || last->is_settled()) {
        finish(now);
        m_settlement_at.reset();
        if (std::exchange(m_claim_may_follow, false)) {
            m_settlement_at = now + late_write_limit;
        }
        return;
    }
    if (last->holder != m_daemon && is_leased(*last, m_shared->now)) {
        const store_time remaining = last->claimed_at + claim_lease - m_shared->now;
        finish(now);
        m_settlement_at = now + remaining + m_random.between(duration{0}, settlement_jitter);
        return;
    }
    continue_settlement(*last, now);
}

void coordinator::continue_settlement(const claim& last, time_point now)
{
    if (!has_open_order()) {
        const store_time age = m_shared->now - last.claimed_at;
        if (!last.paused || (last.holder == m_daemon && claim_lease - age >= min_remaining_lease)) {
            m_claim = last;
            m_claimed_at = m_read_at - age;
            close_claim(now);
        }
        else {
            claim_survey(now);
        }
    }
    else if (m_group.sync_replicas > 0) {
        survey(now);
    }
    else {
        claim_present_primary(now);
    }
}

void coordinator::claim_settlement_target(time_point now)
{
    const auto found =
        std::find_if(m_answers.begin(), m_answers.end(), [this](const survey_answer& answer) {
            return is_newest_ordered(answer.server) && answer.status;
        });
    const bool is_behind =
        found == m_answers.end() ||
        std::any_of(m_answers.begin(), m_answers.end(), [&found](const survey_answer& answer) {
            return answer.status && answer.status->received > found->status->received;
        });
    if (is_behind || m_rejected_target == found->server) {
        claim_present_primary(now);
        return;
    }
    claim next;
    next.target = found->server;
    next.ordered = ordered_with(next.target);
    next.paused = true;
    write(std::move(next), step::claiming, now);
}

void coordinator::claim_present_primary(time_point now)
{
    if (!m_group.primary) {
        retry("no primary is known that an order could name", now);
        return;
    }
    claim next;
    next.target = *m_group.primary;
    next.ordered = ordered_with(next.target);
    next.paused = m_newest_claim.paused;
    m_names_present_primary = true;
    write(std::move(next), step::claiming, now);
}

void coordinator::close_claim(time_point now)
{
    m_settled_token = m_claim.token;
    if (!m_claim.paused) {
        write_closed_claim(now);
        return;
    }
    m_step = step::resuming;
    m_step_deadline = now + step_timeout;
    m_group.awaits_resume = true;
    add_action(resume_replicas{m_claimed_at + claim_lease});
}

void coordinator::write_closed_claim(time_point now)
{
    m_claim.ordered.clear();
    m_claim.paused = false;
    m_step = step::closing;
    m_step_deadline = now + step_timeout;
    add_action(write_claim{m_claim, m_shared->claim_version});
}

} // namespace gypsumstep::promotion
