#include "gypsumstep/admission/ranked_scheduler.h"

#include <algorithm>

namespace gypsumstep::admission {

void ranked_scheduler::advance(const backlog& waiting, const queue_settings& settings, double slots,
                               time_point now)
{
    const duration elapsed = std::max(now - m_updated, duration{0});
    m_updated = std::max(m_updated, now);
    for (std::size_t i = 0; i < rank_count; ++i) {
        m_credits[i].advance(settings.ranks[i].slot_floor * slots, waiting[i].waiting > 0, elapsed);
    }
}

void ranked_scheduler::charge(rank level, duration cost)
{
    m_credits[index_of(level)].charge(cost);
}

std::optional<rank> ranked_scheduler::choose(const backlog& waiting) const
{
    const auto chosen = scheduling::select_level(
        all_ranks.begin(), all_ranks.end(),
        [&](rank level) { return waiting[index_of(level)].waiting > 0; },
        [&](rank level) { return m_credits[index_of(level)].value(); });
    return chosen == all_ranks.end() ? std::nullopt : std::optional{*chosen};
}

} // namespace gypsumstep::admission
