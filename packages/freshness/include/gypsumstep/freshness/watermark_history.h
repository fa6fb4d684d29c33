/// \file
/// What a read must see, from exchanges that proved a server to be the primary.
#pragma once

#include "gypsumstep/base/position.h"
#include "gypsumstep/base/time.h"

#include <deque>
#include <optional>

namespace gypsumstep::freshness {

/// A position that contains every commit acknowledged before a moment.
struct watermark {
    log_position position;
    time_point complete_until; ///< when the proving exchange was sent

    friend bool operator==(const watermark&, const watermark&) = default;
};

/// What a read has to see.
struct read_bound {
    time_point acknowledged_before;         ///< every commit acknowledged earlier than this
    std::optional<log_position> own_commit; ///< and the session's own last commit
    time_point own_commit_at{};             ///< when that was acknowledged

    friend bool operator==(const read_bound&, const read_bound&) = default;
};

/// A position that a server must have, and when the primary had it.
struct required_position {
    log_position position;
    time_point as_of;

    friend bool operator==(const required_position&, const required_position&) = default;
};

/// The recent watermarks of one database group.
///
/// Times come from a clock that also counts while the VM is suspended; otherwise a
/// process that was frozen would take old data for fresh.
class watermark_history {
public:
    /// \param keep how long a watermark stays usable; the largest staleness of any route
    explicit watermark_history(duration retention) : m_retention{retention} {}

    /// Adds the result of an exchange that only a primary answers.
    ///
    /// Positions of older terms are dropped, since a promotion may have rolled them back.
    void add(watermark added, time_point now);

    /// The lowest position that satisfies \p bound; nothing if a new proof is needed.
    ///
    /// The lowest one is chosen so that replicas that are a little behind still serve.
    [[nodiscard]] std::optional<required_position> position_for(const read_bound& bound) const;

    /// Drops everything: the present primary's log does not have these positions.
    void clear() { m_marks.clear(); }

    /// The newest watermark; nothing before the first proof.
    [[nodiscard]] std::optional<watermark> newest() const;

    /// Changes how long watermarks are kept.
    void set_retention(duration retention) { m_retention = retention; }

private:
    duration m_retention;
    std::deque<watermark> m_marks; ///< ascending by moment and by position
};

} // namespace gypsumstep::freshness
