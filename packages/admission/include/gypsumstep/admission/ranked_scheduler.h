/// \file
/// Strict rank order, except that each lower rank keeps a floor of slot time.
#pragma once

#include "gypsumstep/admission/scheduling_policy.h"

namespace gypsumstep::admission {

/// Each rank with a floor earns credit in slot time at the rate of its floor and pays
/// for what it is given. A rank that has waiting requests and positive credit goes
/// before all others; otherwise the most urgent rank goes first.
///
/// Shares are kept over time and not by reserved slots, so that a floor of 10 %
/// holds on three slots as well. Credit is only kept while requests wait, so an
/// unused floor is lent and not saved up.
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
    std::array<double, rank_count> m_credit{}; // microseconds of one slot
    std::array<double, rank_count> m_bound{};  // largest credit
    time_point m_updated{};
};

static_assert(scheduling_policy<ranked_scheduler>);

} // namespace gypsumstep::admission
