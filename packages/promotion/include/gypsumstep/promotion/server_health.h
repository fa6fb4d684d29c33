/// \file
/// Detects that a server has stopped answering this daemon.
#pragma once

#include "gypsumstep/base/time.h"

#include <optional>

namespace gypsumstep::promotion {

/// Tracks the answers and failures of one server.
class server_health {
public:
    /// A statement in flight that gets no answer for this long counts as a failure. Long enough
    /// for a full queue at the server.
    static constexpr duration silence_timeout = 900ms;

    /// Records that the server sent something.
    void answered(time_point now);

    /// Records that a connection was refused, reset or not opened in time.
    void failed(time_point now);

    /// Records that a statement sent at \p sent_at is still without an answer at \p now.
    void waiting_since(time_point sent_at, time_point now);

    /// Records that this process was not running until \p now; silence before that does not count.
    void resumed(time_point now);

    /// How long the server has been failing; zero if it is answering.
    [[nodiscard]] duration failing_for(time_point now) const;

    /// When the server last answered; empty if it never did.
    [[nodiscard]] std::optional<time_point> last_answer() const { return m_last_answer; }

private:
    std::optional<time_point> m_last_answer;
    std::optional<time_point> m_failing_since;
    std::optional<time_point> m_resumed_at;
};

} // namespace gypsumstep::promotion
