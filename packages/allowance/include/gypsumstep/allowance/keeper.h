/// \file
/// Grants tokens from this daemon's part of the accounts' limits.
#pragma once

#include "gypsumstep/allowance/messages.h"
#include "gypsumstep/allowance/terms.h"

#include <map>
#include <string>

namespace gypsumstep::allowance {

/// A token bucket for each account. Buckets are refilled when they are used, so an account that
/// nobody asks for costs no processor time.
class keeper {
public:
    explicit keeper(const terms& bound) : m_terms{bound} {}

    /// Replaces the limits. Tokens beyond a lowered limit are dropped at once. An account that was
    /// not known starts as after a start of the process.
    void set_limits(const account_limits& limits, time_point now);

    /// Sets the part of each limit that this daemon owns, from 0 to 1. Added parts start with
    /// their share of the start tokens, since earlier owners may have granted the rest.
    void set_part(double part, time_point now);

    [[nodiscard]] double part() const { return m_part; }

    [[nodiscard]] token_answer grant(const token_request& request, time_point now);

private:
    struct bucket {
        account_limit limit;
        double tokens{0};
        double shortfall{0}; ///< tokens recently asked for and not granted
        time_point refilled_at{};
    };

    [[nodiscard]] double depth_of(const account_limit& limit) const;
    [[nodiscard]] double start_of(const account_limit& limit, double part) const;
    void refill(bucket& refilled, time_point now) const;
    [[nodiscard]] account_grant grant(const account_need& need, time_point now);

    terms m_terms;
    double m_part{0};
    time_point m_refill_from{};
    std::map<std::string, bucket, std::less<>> m_buckets;
};

} // namespace gypsumstep::allowance
