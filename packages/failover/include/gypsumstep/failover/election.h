/// \file
/// One round of grant requests and promotion for one term.
#pragma once

#include "gypsumstep/commit/rules.h"
#include "gypsumstep/failover/actions.h"

#include <algorithm>
#include <map>
#include <utility>

namespace gypsumstep::failover {

/// A hand-over from a working primary to another server.
struct hand_over {
    server_id from;
    server_id to;

    friend auto operator<=>(const hand_over&, const hand_over&) = default;
};

/// Parameters of a round.
struct election_plan {
    term requested_term;
    claim_id claim;
    std::vector<server_id> servers;          ///< all servers of the group
    std::optional<hand_over> hand_over_plan; ///< if empty, the most advanced server is promoted

    friend auto operator<=>(const election_plan&, const election_plan&) = default;
};

/// State of a round.
enum class election_status {
    running,
    promoted,     ///< \c winner is the primary of the round's term
    lost,         ///< another claimant holds this term or a higher one
    unreachable,  ///< no majority granted the term in time
    not_promoted, ///< the chosen server did not become primary in time
};

/// Requests grants, then promotes one server; never two servers in one term.
///
/// In a hand-over the old primary steps down when it grants the term, and its answer names
/// its last position. The target is then promoted on condition that it has reached that
/// position. The target's own grant is part of its promotion, so that writes stop for about
/// one round trip. If the old primary does not answer, the round turns into an election.
template <failover_rules Rules = standard_rules>
class basic_election {
public:
    basic_election(election_plan plan, const settings& limits, time_point now)
        : m_plan{std::move(plan)}, m_settings{limits}, m_started{now}, m_next_send{now}
    {
    }

    [[nodiscard]] election_status status() const { return m_status; }

    /// The claim of this round.
    [[nodiscard]] const claim_id& claim() const { return m_plan.claim; }

    /// The promoted server and its term; valid once the status is promoted.
    [[nodiscard]] primary_view winner() const { return {m_plan.requested_term, m_choice->server}; }

    /// The highest term named in any answer.
    [[nodiscard]] term highest_seen() const { return m_highest_seen; }

    /// Handles a server's answer to a grant request.
    void answer(const grant_answer& answer, time_point now)
    {
        m_highest_seen = std::max(m_highest_seen, answer.highest);
        if (answer.claim != m_plan.claim || answer.requested_term != m_plan.requested_term ||
            m_choice) {
            return;
        }
        m_answers[answer.server] = answer;
        choose_if_ready(now);
    }

    /// Handles the chosen server's answer to the promotion.
    void answer(const promote_answer& answer)
    {
        m_highest_seen = std::max(m_highest_seen, answer.highest);
        const bool expected = answer.claim == m_plan.claim &&
                              answer.requested_term == m_plan.requested_term && m_choice &&
                              m_choice->server == answer.server;
        if (!expected || m_status != election_status::running) {
            return;
        }
        if (answer.answer == promotion_answer::promoted) {
            m_status = election_status::promoted;
        }
        else if (answer.answer == promotion_answer::refused) {
            m_status = election_status::lost;
        }
    }

    /// Adds the requests that are due to \p out and ends the round if it timed out.
    void advance(time_point now, actions& out)
    {
        if (m_status != election_status::running) {
            return;
        }
        if (m_plan.hand_over_plan && !m_choice && now >= m_started + m_settings.hand_over_timeout) {
            m_plan.hand_over_plan.reset();
            m_next_send = now;
            choose_if_ready(now);
        }
        if (m_choice) {
            advance_promotion(now, out);
        }
        else {
            advance_grants(now, out);
        }
    }

private:
    struct choice {
        server_id server;
        log_position min_position;
        time_point chosen_at;
    };

    [[nodiscard]] std::size_t count_answers(bool granted) const
    {
        const auto matches = [&](const auto& entry) { return entry.second.granted == granted; };
        return static_cast<std::size_t>(std::count_if(m_answers.begin(), m_answers.end(), matches));
    }

    [[nodiscard]] std::size_t majority() const
    {
        return commit::majority_of(m_plan.servers.size());
    }

    /// Chooses the server to promote once enough grants have arrived.
    void choose_if_ready(time_point now)
    {
        if (m_plan.hand_over_plan) {
            const auto from = m_answers.find(m_plan.hand_over_plan->from);
            const bool stepped_down = from != m_answers.end() && from->second.granted;
            if (stepped_down && count_answers(true) + 1 >= majority()) {
                set_choice({m_plan.hand_over_plan->to, from->second.last, now});
            }
        }
        else if (count_answers(true) >= majority()) {
            const grant_answer& best = most_advanced();
            set_choice({best.server, best.last, now});
        }
    }

    void set_choice(const choice& chosen)
    {
        m_choice = chosen;
        m_next_send = chosen.chosen_at;
    }

    [[nodiscard]] const grant_answer& most_advanced() const
    {
        const auto less_suitable = [](const auto& left, const auto& right) {
            const grant_answer& left_answer = left.second;
            const grant_answer& right_answer = right.second;
            if (left_answer.granted != right_answer.granted) {
                return right_answer.granted;
            }
            return Rules::less_advanced(left_answer.last, right_answer.last);
        };
        return std::max_element(m_answers.begin(), m_answers.end(), less_suitable)->second;
    }

    void advance_grants(time_point now, actions& out)
    {
        if (count_answers(false) > m_plan.servers.size() - majority()) {
            m_status = election_status::lost;
            return;
        }
        if (now >= m_started + m_settings.grant_timeout) {
            m_status = election_status::unreachable;
            return;
        }
        if (now < m_next_send) {
            return;
        }
        m_next_send = now + m_settings.retry_interval;
        for (const server_id server : m_plan.servers) {
            const bool target = m_plan.hand_over_plan && m_plan.hand_over_plan->to == server;
            if (!target && !m_answers.contains(server)) {
                out.emplace_back(request_grant{server, m_plan.requested_term, m_plan.claim});
            }
        }
    }

    void advance_promotion(time_point now, actions& out)
    {
        if (now >= m_choice->chosen_at + m_settings.promotion_timeout) {
            m_status = election_status::not_promoted;
            return;
        }
        if (now < m_next_send) {
            return;
        }
        m_next_send = now + (m_plan.hand_over_plan ? m_settings.catch_up_interval
                                                   : m_settings.retry_interval);
        out.emplace_back(
            promote{m_choice->server, m_plan.requested_term, m_plan.claim, m_choice->min_position});
    }

    election_plan m_plan;
    settings m_settings;
    time_point m_started;
    time_point m_next_send;
    election_status m_status{election_status::running};
    std::map<server_id, grant_answer> m_answers;
    std::optional<choice> m_choice;
    term m_highest_seen;
};

/// The election with the rules used in production.
using election = basic_election<>;

extern template class basic_election<standard_rules>;

} // namespace gypsumstep::failover
