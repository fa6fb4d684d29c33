#include "gypsumstep/admission/ranked_scheduler.h"

#include <algorithm>

namespace gypsumstep::admission {

namespace {

// Bounds credit. It has to exceed a few service times, else credit that is earned
// while every slot is busy would be lost.
constexpr duration credit_window = 1s;

// Bounds debt. Short, so that lent slots do not delay a floor that is needed again.
constexpr double debt_share = 0.1; // of the largest credit

} // namespace

void ranked_scheduler::advance(const backlog& waiting, const queue_settings& settings, double slots,
                               time_point now)
{
    const auto elapsed = static_cast<double>(std::max(now - m_updated, duration{0}).count());
    m_updated = std::max(m_updated, now);
    for (std::size_t i = 0; i < rank_count; ++i) {
        const double rate = settings.ranks[i].slot_floor * slots;
        m_bound[i] = rate * static_cast<double>(credit_window.count());
        const double highest = waiting[i].waiting > 0 ? m_bound[i] : 0.0;
        m_credit[i] = std::min(m_credit[i] + rate * elapsed, highest);
    }
}

void ranked_scheduler::charge(rank level, duration cost)
{
    const std::size_t i = index_of(level);
    const auto amount = static_cast<double>(cost.count());
    const double debt = std::max(m_bound[i] * debt_share, amount);
    const double lowest = std::min(m_credit[i], -debt);
    m_credit[i] = std::clamp(m_credit[i] - amount, lowest, m_bound[i]);
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
