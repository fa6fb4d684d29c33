/// \file
/// The last known version of a group's claim row, and the recording of a new primary in it.
#pragma once

#include "gypsumstep/failover/actions.h"

namespace gypsumstep::failover {

/// Keeps the newest version of a group's claim row that the platform returned.
class claim_row_cache {
public:
    /// Stores a row that the platform returned; older versions are ignored.
    void update(const claim_row& row, time_point now);

    /// Whether any version of the row has been stored.
    [[nodiscard]] bool known() const { return m_known; }

    /// The newest version; valid only if known().
    [[nodiscard]] const claim_row& row() const { return m_row; }

    /// The time until which an open claim of a daemon other than \p self, for a term above that of
    /// \p known, must be respected: \p timeout after it was first seen. A time in the past if
    /// there is no such claim.
    [[nodiscard]] time_point held_until(daemon_id self, const primary_view& known,
                                        duration timeout) const;

private:
    bool m_known{false};
    claim_row m_row;
    time_point m_seen_at;
};

/// Records the current primary in the claim row and retries until the record is stored.
class claim_recorder {
public:
    /// Schedules the recording of \p primary under \p claim for \p due; replaces a pending record.
    void start(const primary_view& primary, const claim_id& claim, time_point due);

    /// Drops the pending record if a primary of a higher term is known.
    void observe(const primary_view& known);

    /// Handles the answer to a write of this recorder; answers to other writes are ignored.
    void answered(const claim_written& answer, time_point now);

    /// Adds the read or write that is due at \p now to \p out.
    void advance(const claim_row_cache& cache, const settings& limits, time_point now,
                 actions& out);

    /// Whether a record has not been stored yet.
    [[nodiscard]] bool pending() const { return m_job.has_value(); }

private:
    struct job {
        primary_view primary;
        claim_id claim;
        time_point due;
    };

    std::optional<job> m_job;
};

} // namespace gypsumstep::failover
