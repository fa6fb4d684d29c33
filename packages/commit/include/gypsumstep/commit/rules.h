/// \file
/// The rules that decide about acknowledgements and request outcomes.
///
/// They are a template parameter of the decision code, so that a test can break one of them and
/// check that the randomized runs detect it.
#pragma once

#include "gypsumstep/base/position.h"

#include <concepts>
#include <cstddef>

namespace gypsumstep::commit {

/// Size of a majority of \p servers: any two sets of this size have a server in common.
[[nodiscard]] constexpr std::size_t majority_of(std::size_t servers)
{
    return servers / 2 + 1;
}

/// What is known about a request whose key is absent from a primary's log.
struct absence {
    term sent_term;                    ///< term in which the write was sent
    term primary_term;                 ///< term of the primary that looked the key up
    bool opening_majority_held{false}; ///< a majority holds the first entry of that primary's term

    friend auto operator<=>(const absence&, const absence&) = default;
};

/// What is known about a request that has not succeeded.
struct attempt {
    bool sent{false};       ///< some part of it may have reached a server and run there
    bool idempotent{false}; ///< the client declared that running it twice is harmless

    friend auto operator<=>(const attempt&, const attempt&) = default;
};

/// Rules about acknowledgement, absent request keys and retries.
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

/// The rules used in production.
struct standard_rules {
    /// How many of a group's \p servers must hold a commit before it is acknowledged.
    [[nodiscard]] static std::size_t acknowledgements(std::size_t servers);

    /// Whether an absent key proves that the write has not run and never will.
    ///
    /// Until a majority holds the first entry of a higher term, a later election may still
    /// choose a server that holds the write's entry.
    [[nodiscard]] static bool proves_not_run(const absence& missing);

    /// Whether a failed request may be sent again without looking up its outcome.
    [[nodiscard]] static bool may_send_again(const attempt& previous);
};

static_assert(commit_rules<standard_rules>);

} // namespace gypsumstep::commit
