/// \file
/// The replicated log of the backend stand-in, with its grant of terms.
#pragma once

#include "gypsumstep/base/position.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gypsumstep::standin {

/// One committed transaction: the statements that changed data.
struct log_entry {
    term entry_term;
    std::vector<std::string> statements;

    friend bool operator==(const log_entry&, const log_entry&) = default;
};

/// The entries of one server; indices start at 1.
class replica_log {
public:
    /// Position of the last entry; index 0 if there is none.
    [[nodiscard]] log_position last() const;

    /// Position of the entry at \p index; index 0 is the empty log.
    [[nodiscard]] log_position position_at(std::uint64_t index) const;

    /// True if the log has exactly this position.
    [[nodiscard]] bool contains(log_position position) const;

    /// Entries after \p index, at most \p limit of them.
    [[nodiscard]] std::vector<log_entry> after(std::uint64_t index, std::size_t limit) const;

    /// The entry at \p index, which must exist.
    [[nodiscard]] const log_entry& at(std::uint64_t index) const { return m_entries[index - 1]; }

    /// Appends an entry and returns its position.
    log_position append(log_entry entry);

    /// Drops every entry after \p index.
    void truncate(std::uint64_t index);

private:
    std::vector<log_entry> m_entries;
};

} // namespace gypsumstep::standin
