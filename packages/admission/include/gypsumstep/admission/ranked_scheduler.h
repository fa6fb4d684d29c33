/// \file
/// Strict priority by rank, except that each rank keeps a slot floor.
#pragma once

#include "gypsumstep/admission/scheduling_policy.h"

namespace gypsumstep::admission {

/// Each rank with a slot floor earns credit in slot time at the rate of its floor, and is charged
/// for the slot time that it uses. Among the ranks with waiting requests and positive credit, the
/// one with the most credit is served first; if there is none, the most urgent rank is.
///
/// Floors are shares of slot time rather than reserved slots, so that a floor of 10 % also holds
/// on three slots. A rank keeps credit only while it has waiting requests: other ranks use an
/// unused floor, and it is not saved up.
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
    std::array<double, rank_count> m_credit{};     // slot time in microseconds
    std::array<double, rank_count> m_max_credit{}; // highest credit of each rank, the same unit
    time_point m_updated{};
};

static_assert(scheduling_policy<ranked_scheduler>);

} // namespace gypsumstep::admission
