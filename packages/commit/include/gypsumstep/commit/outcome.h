/// \file
/// Determines by its request key whether a request whose answer was lost has run.
#pragma once

#include "gypsumstep/commit/tracker.h"

#include <optional>

namespace gypsumstep::commit {

/// Outcome of a request.
enum class outcome {
    ran,     ///< it ran once, and no failover can undo it
    not_run, ///< it has not run and never will
    unknown, ///< not determined yet; look the key up again later
};

/// A primary's answer to the lookup of a request key.
///
/// All fields are read atomically on the primary. Each write carries the term in which it was
/// sent, and servers refuse writes of any other term. Otherwise a delayed write could still run
/// after its key was found to be absent.
struct key_lookup {
    term sent_term;                ///< term in which the request was sent
    log_position opening_position; ///< first entry that the queried primary wrote in its term
    std::optional<log_position> key_position; ///< entry that holds the key; empty if absent

    friend auto operator<=>(const key_lookup&, const key_lookup&) = default;
};

/// Returns the outcome of the request, given \p lookup and what the group's servers hold.
template <commit_rules Rules>
[[nodiscard]] outcome resolve(const key_lookup& lookup, const basic_commit_tracker<Rules>& tracker)
{
    // An entry of an older term is safe only if a majority holds an entry of the primary's own
    // term that follows it.
    const log_position needed =
        std::max(lookup.opening_position, lookup.key_position.value_or(lookup.opening_position));
    const bool held = tracker.majority_holds(needed);
    if (lookup.key_position) {
        return held ? outcome::ran : outcome::unknown;
    }
    const absence missing{lookup.sent_term, lookup.opening_position.entry_term, held};
    return Rules::proves_not_run(missing) ? outcome::not_run : outcome::unknown;
}

} // namespace gypsumstep::commit
