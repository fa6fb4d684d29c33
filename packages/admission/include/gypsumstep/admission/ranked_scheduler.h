/// \file
/// Strict priority by rank, except that each rank keeps a slot floor.
#pragma once

#include "gypsumstep/admission/scheduling_policy.h"
#include "gypsumstep/scheduling/floor_credit.h"

namespace gypsumstep::admission {

/// Serves the rank that scheduling::select_level selects by the credits of the ranks' floors.
class ranked_scheduler {
public:
    static constexpr bool fair_between_accounts = true;
    static constexpr bool refuses_late = true;

    /// See scheduling_policy.
    void advance(const backlog& waiting, const queue_settings& settings, double slots,
                 time_point now);

    /// See scheduling_policy.
    void charge(rank level, duration cost);

    /// See scheduling_policy.
    [[nodiscard]] std::optional<rank> choose(const backlog& waiting) const;

private:
    std::array<scheduling::floor_credit, rank_count> m_credits;
    time_point m_updated{};
};

static_assert(scheduling_policy<ranked_scheduler>);

} // namespace gypsumstep::admission
