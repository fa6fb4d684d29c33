/// \file
/// The rules that the safety of failover depends on.
///
/// They are a template parameter of the decision code, so that a test can break one of them and
/// check that the randomized runs detect it.
#pragma once

#include "gypsumstep/failover/types.h"

#include <concepts>
#include <optional>

namespace gypsumstep::failover {

/// State that a server must store durably before it answers.
struct grant_record {
    term highest;                   ///< highest term granted or followed
    std::optional<claim_id> holder; ///< its claim; empty if learnt from a primary's entries

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

/// The rules used in production.
struct standard_rules {
    /// Whether a server may grant \p requested_term to \p claim. Each term is granted to one claim
    /// only.
    [[nodiscard]] static bool may_grant(const grant_record& record, term requested_term,
                                        const claim_id& claim);

    /// Whether a log that ends at \p left lacks entries that a log that ends at \p right may have.
    [[nodiscard]] static bool less_advanced(const log_position& left, const log_position& right);
};

static_assert(failover_rules<standard_rules>);

} // namespace gypsumstep::failover
