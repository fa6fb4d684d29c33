/// \file
/// Limits of accounts, and the bound that holds over all daemons.
#pragma once

#include "gypsumstep/base/time.h"

#include <map>
#include <string>

namespace gypsumstep::allowance {

/// The limit of one account's operations, over all daemons.
struct account_limit {
    double rate_per_second{0}; ///< operations a second; 0 for no limit
    double burst{0};           ///< operations beyond the rate that may start at once

    friend bool operator==(const account_limit&, const account_limit&) = default;
};

using account_limits = std::map<std::string, account_limit, std::less<>>;

/// The bound: in any window, an account runs at most (rate x window + burst) x (1 + overage) +
/// slack operations. docs/design/allowances.md derives the shares below from it.
struct terms {
    duration window{5s};
    double overage{0.1};
    double slack{20}; ///< operations

    /// Operations that the buckets of all keepers hold beyond the burst: two fifths of the slack.
    /// The rest is left for restarted keepers.
    [[nodiscard]] double extra_depth() const { return 0.4 * slack; }

    /// Operations that the buckets of all keepers hold after a start. Two starts in one window fit
    /// into what \c extra_depth leaves of the slack.
    [[nodiscard]] double start_tokens() const { return 0.3 * slack; }

    /// Time after its request at which a token expires. A token that was granted before a window
    /// and is used in it counts in that window, so this uses up a part of the overage.
    [[nodiscard]] duration token_lifetime() const { return share_of_overage(0.4); }

    /// Time whose refill a keeper grants in advance after a start.
    [[nodiscard]] duration start_advance() const { return share_of_overage(0.2); }

    friend bool operator==(const terms&, const terms&) = default;

private:
    [[nodiscard]] duration share_of_overage(double share) const
    {
        return std::chrono::duration_cast<duration>(window * (overage * share));
    }
};

} // namespace gypsumstep::allowance
