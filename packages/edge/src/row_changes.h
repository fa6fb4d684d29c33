/// \file
/// Differences between two readings of a table of the store.
#pragma once

#include "text_edits.h"

#include "gypsumstep/adapter/store_calls.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gypsumstep::edge {

/// A row with a large value of which a small part has changed.
struct row_patch {
    std::string key;
    std::uint64_t version{0}; ///< of the new row
    std::vector<text_edit> edits;

    friend bool operator==(const row_patch&, const row_patch&) = default;
};

/// What turns the rows of one reading into those of another.
struct row_changes {
    std::vector<adapter::stored_row> changed; ///< new rows, and rows with another value
    std::vector<row_patch> patched;           ///< other rows with another value
    std::vector<std::string> removed;         ///< keys

    friend bool operator==(const row_changes&, const row_changes&) = default;
};

/// Returns the changes that turn \p from into \p to.
[[nodiscard]] row_changes changes_between(const std::vector<adapter::stored_row>& from,
                                          const std::vector<adapter::stored_row>& to);

/// Applies changes to \p rows; the result is ordered by key.
/// \return false if they do not fit the rows, which are of no use then
[[nodiscard]] bool apply_changes(std::vector<adapter::stored_row>& rows,
                                 const row_changes& changes);

/// Returns a hash of the rows that does not depend on their order; never 0 or above INT64_MAX.
[[nodiscard]] std::uint64_t digest_of(const std::vector<adapter::stored_row>& rows);

} // namespace gypsumstep::edge
