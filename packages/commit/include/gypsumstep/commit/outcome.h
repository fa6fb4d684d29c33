/// \file
/// Finds out by its key whether a request with a lost answer ran.
#pragma once

#include "gypsumstep/commit/tracker.h"

#include <optional>

namespace gypsumstep::commit {

/// What became of a request.
enum class outcome {
    ran,     ///< it ran once and no failover can undo it
    not_run, ///< it did not run and never will
    unknown, ///< ask again later
};

/// A primary's answer to the question for a request key.
///
/// All fields are read on the primary at one moment. Writes carry the term in
/// which they were sent and servers refuse those of any other term; otherwise a
/// delayed write could still run after its absence was established.
struct key_lookup {
    term sent_term;                           ///< term in which the request was sent
    log_position opening_position;            ///< opening entry of the primary that was asked
    std::optional<log_position> key_position; ///< entry that holds the key; nothing if absent

    friend auto operator<=>(const key_lookup&, const key_lookup&) = default;
};

/// What \p lookup says about the request, given what the group's servers hold.
template <commit_rules Rules>
[[nodiscard]] outcome resolve(const key_lookup& lookup, const basic_commit_tracker<Rules>& tracker)
{
    // An entry of an older term is only safe below a majority-held entry of the primary's own.
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
