/// \file
/// The log positions that reads must see, from watermark requests that the primary answered.
#pragma once

#include "gypsumstep/base/position.h"
#include "gypsumstep/base/time.h"

#include <deque>
#include <optional>

namespace gypsumstep::freshness {

/// A log position that includes every commit acknowledged before a point in time.
struct watermark {
    log_position position;
    time_point complete_until; ///< when the watermark request was sent

    friend bool operator==(const watermark&, const watermark&) = default;
};

/// The commits that a read has to see.
struct read_bound {
    time_point acknowledged_before;         ///< sees every commit acknowledged earlier
    std::optional<log_position> own_commit; ///< the session's own last commit, also seen
    time_point own_commit_at{};             ///< when own_commit was acknowledged

    friend bool operator==(const read_bound&, const read_bound&) = default;
};

/// A position that a server must have reached to run a read.
struct required_position {
    log_position position;
    time_point as_of; ///< when the primary had reached the position

    friend bool operator==(const required_position&, const required_position&) = default;
};

/// The recent watermarks of one database group.
///
/// Times must come from a clock that also advances while the VM is suspended; otherwise a
/// process that was suspended would treat old data as fresh.
class watermark_history {
public:
    /// \param retention how long a watermark is kept; the largest max_staleness of any route
    explicit watermark_history(duration retention) : m_retention{retention} {}

    /// Adds the result of a watermark request, which only a primary answers.
    ///
    /// Positions of older terms are dropped, since a promotion may have rolled them back.
    void add(watermark added, time_point now);

    /// Returns the lowest position that satisfies \p bound, or nothing if a new watermark request
    /// is needed.
    ///
    /// The lowest one is chosen so that replicas that lag a little can still serve the read.
    [[nodiscard]] std::optional<required_position> position_for(const read_bound& bound) const;

    /// Drops all watermarks. Used when the current primary's log does not have their positions.
    void clear() { m_watermarks.clear(); }

    /// Returns the newest watermark, or nothing if there is none.
    [[nodiscard]] std::optional<watermark> newest() const;

    /// Sets how long watermarks are kept.
    void set_retention(duration retention) { m_retention = retention; }

private:
    duration m_retention;
    std::deque<watermark> m_watermarks; ///< ascending by time and by position
};

} // namespace gypsumstep::freshness
