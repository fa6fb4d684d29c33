/// \file
/// The rules on which acknowledgement and request outcomes rest.
///
/// They are a template parameter of the decision code, so that a test can
/// replace one of them and show that the random runs notice.
#pragma once

#include "gypsumstep/base/position.h"

#include <concepts>
#include <cstddef>

namespace gypsumstep::commit {

/// The smallest number of servers that any two choices of so many share one.
[[nodiscard]] constexpr std::size_t majority_of(std::size_t servers)
{
    return servers / 2 + 1;
}

/// What is known when a request key is absent from a primary's log.
struct absence {
    term sent_term;                    ///< term in which the write was sent
    term primary_term;                 ///< term of the primary that was asked
    bool opening_majority_held{false}; ///< a majority holds that primary's opening entry

    friend auto operator<=>(const absence&, const absence&) = default;
};

/// What is known of a request that has not succeeded.
struct attempt {
    bool sent{false};       ///< any part of it may have reached a server and run there
    bool idempotent{false}; ///< the caller declared that running it twice is harmless

    friend auto operator<=>(const attempt&, const attempt&) = default;
};

/// The rules that decide about acknowledgement, absence and sending again.
template <class Rules>
concept commit_rules = requires(std::size_t servers, const absence& missing,
                                const attempt& previous)
{
    {
        Rules::acknowledgements(servers)
        } -> std::same_as<std::size_t>;
    {
        Rules::proves_not_run(missing)
        } -> std::same_as<bool>;
    {
        Rules::may_send_again(previous)
        } -> std::same_as<bool>;
};

/// The rules of production.
struct standard_rules {
    /// How many of a group's \p servers must hold a commit before it is acknowledged.
    [[nodiscard]] static std::size_t acknowledgements(std::size_t servers);

    /// Whether an absent key proves that the write never ran and never will.
    ///
    /// Until a majority holds the opening entry of a higher term, a later
    /// election may still choose a server that has the old entry.
    [[nodiscard]] static bool proves_not_run(const absence& missing);

    /// Whether a failed request may be sent again without asking for its outcome.
    [[nodiscard]] static bool may_send_again(const attempt& previous);
};

static_assert(commit_rules<standard_rules>);

} // namespace gypsumstep::commit
