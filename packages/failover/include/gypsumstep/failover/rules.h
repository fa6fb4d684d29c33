/// \file
/// The rules on which the safety of failover rests.
///
/// They are a template parameter of the decision code, so that a test can
/// replace one of them and show that the random runs notice.
#pragma once

#include "gypsumstep/failover/types.h"

#include <concepts>
#include <optional>

namespace gypsumstep::failover {

/// What a server must have stored durably before it answers.
struct grant_record {
    term highest;                   ///< highest term granted or followed
    std::optional<claim_id> holder; ///< who has it; nothing if learnt from a primary's entries

    friend auto operator<=>(const grant_record&, const grant_record&) = default;
};

/// Rules about granting terms and choosing the server to promote.
template <class Rules>
concept failover_rules = requires(const grant_record& record, term requested_term,
                                  const claim_id& claim, const log_position& left,
                                  const log_position& right)
{
    {
        Rules::may_grant(record, requested_term, claim)
        } -> std::same_as<bool>;
    {
        Rules::less_advanced(left, right)
        } -> std::same_as<bool>;
};

/// The rules of production.
struct standard_rules {
    /// Whether a server may grant \p requested_term to \p claim: each term once, to one claim.
    [[nodiscard]] static bool may_grant(const grant_record& record, term requested_term,
                                        const claim_id& claim);

    /// Whether a log that ends at \p left lacks something that one ending at \p right may have.
    [[nodiscard]] static bool less_advanced(const log_position& left, const log_position& right);
};

static_assert(failover_rules<standard_rules>);

} // namespace gypsumstep::failover
