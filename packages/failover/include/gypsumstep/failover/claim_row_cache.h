/// \file
/// What is known of a group's claim row, and the recording of a new primary in it.
#pragma once

#include "gypsumstep/failover/actions.h"

namespace gypsumstep::failover {

/// The newest version of the row that was seen.
class claim_row_cache {
public:
    /// Takes in a row that the platform returned; older versions are ignored.
    void see(const claim_row& row, time_point now);

    /// Whether any version was seen.
    [[nodiscard]] bool known() const { return m_known; }

    /// The newest version seen; valid if known().
    [[nodiscard]] const claim_row& row() const { return m_row; }

    /// Until when an open claim of another daemon for a term above \p known is left alone.
    [[nodiscard]] time_point held_until(daemon_id self, const primary_view& known,
                                        duration patience) const;

private:
    bool m_known{false};
    claim_row m_row;
    time_point m_seen_at;
};

/// Writes the record of a primary in office and repeats it until it is stored.
class claim_recorder {
public:
    /// Begins at \p due to record \p primary under \p claim; drops an earlier record.
    void start(const primary_view& primary, const claim_id& claim, time_point due);

    /// Drops the record if a primary of a higher term is known.
    void observe(const primary_view& known);

    /// Takes in the answer to a write of this recorder; others are ignored.
    void answered(const claim_written& answer, time_point now);

    /// Sends what is due.
    void advance(const claim_row_cache& cache, const settings& limits, time_point now,
                 actions& out);

    /// Whether a record is still to be written.
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
