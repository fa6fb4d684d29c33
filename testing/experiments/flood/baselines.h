/// \file
/// Baseline scheduling policies, with which the ranked scheduler is compared.
#pragma once

#include "gypsumstep/admission/scheduling_policy.h"

#include <algorithm>

namespace gypsumstep::flood {

/// First come, first served over all ranks and client accounts.
class first_come_first_served {
public:
    static constexpr bool fair_between_accounts = false;
    static constexpr bool refuses_late = false;

    void advance(const admission::backlog&, const admission::queue_settings&, double, time_point) {}
    void charge(rank, duration) {}

    [[nodiscard]] std::optional<rank> choose(const admission::backlog& waiting) const
    {
        std::optional<rank> chosen;
        for (const rank level : all_ranks) {
            const admission::rank_backlog& candidate = waiting[index_of(level)];
            if (candidate.waiting > 0 &&
                (!chosen || candidate.head_sequence < waiting[index_of(*chosen)].head_sequence)) {
                chosen = level;
            }
        }
        return chosen;
    }
};

/// Always serves the most urgent rank first. Refuses requests that would miss their deadline, as
/// ranked_scheduler does.
class strict_priority {
public:
    static constexpr bool fair_between_accounts = true;
    static constexpr bool refuses_late = true;

    void advance(const admission::backlog&, const admission::queue_settings&, double, time_point) {}
    void charge(rank, duration) {}

    [[nodiscard]] std::optional<rank> choose(const admission::backlog& waiting) const
    {
        const auto* const first = std::ranges::find_if(
            all_ranks, [&](rank level) { return waiting[index_of(level)].waiting > 0; });
        return first == all_ranks.end() ? std::nullopt : std::optional{*first};
    }
};

static_assert(admission::scheduling_policy<first_come_first_served>);
static_assert(admission::scheduling_policy<strict_priority>);

} // namespace gypsumstep::flood
