#include "gypsumstep/admission/ranked_scheduler.h"

#include <algorithm>

namespace gypsumstep::admission {

namespace {

// A rank's credit is at most what its floor earns in this time. It must exceed a few service times,
// else credit that is earned while every slot is busy would be lost.
constexpr duration credit_window = 1s;

// Highest debt as a share of the highest credit. Low, so that slot time used beyond the floor
// does not delay the floor when it is needed again.
constexpr double max_debt_share = 0.1;

} // namespace

void ranked_scheduler::advance(const backlog& waiting, const queue_settings& settings, double slots,
                               time_point now)
{
    const auto elapsed = static_cast<double>(std::max(now - m_updated, duration{0}).count());
    m_updated = std::max(m_updated, now);
    for (std::size_t i = 0; i < rank_count; ++i) {
        const double rate = settings.ranks[i].slot_floor * slots;
        m_max_credit[i] = rate * static_cast<double>(credit_window.count());
        const double max_credit = waiting[i].waiting > 0 ? m_max_credit[i] : 0.0;
        m_credit[i] = std::min(m_credit[i] + rate * elapsed, max_credit);
    }
}

void ranked_scheduler::charge(rank level, duration cost)
{
    const std::size_t i = index_of(level);
    const auto amount = static_cast<double>(cost.count());
    const double max_debt = std::max(m_max_credit[i] * max_debt_share, amount);
    const double min_credit = std::min(m_credit[i], -max_debt);
    m_credit[i] = std::clamp(m_credit[i] - amount, min_credit, m_max_credit[i]);
}

std::optional<rank> ranked_scheduler::choose(const backlog& waiting) const
{
    std::optional<rank> chosen;
    double most_credit = 0.0;
    for (const rank level : all_ranks) {
        const std::size_t i = index_of(level);
        if (waiting[i].waiting > 0 && m_credit[i] > most_credit) {
            chosen = level;
            most_credit = m_credit[i];
        }
    }
    if (chosen) {
        return chosen;
    }
    const auto first = std::ranges::find_if(
        all_ranks, [&](rank level) { return waiting[index_of(level)].waiting > 0; });
    return first == all_ranks.end() ? std::nullopt : std::optional{*first};
}

} // namespace gypsumstep::admission
