/// \file
/// Whether a server still answers this daemon.
#pragma once

#include "gypsumstep/base/time.h"

#include <optional>

namespace gypsumstep::promotion {

/// Follows one server's answers and failures.
class server_health {
public:
    /// Silence of a statement in flight counts as a failure after this time. Covers a
    /// full queue at the server.
    static constexpr duration silence_limit = 900ms;

    /// The server sent something.
    void answered(time_point now);

    /// A connection was refused, reset, or could not be opened in time.
    void failed(time_point now);

    /// Something has been waiting for an answer since \p sent_at.
    void waiting_since(time_point sent_at, time_point now);

    /// This process was not running until \p now; silence before does not count.
    void resumed(time_point now);

    /// How long the server has not answered; zero while it does.
    [[nodiscard]] duration failing_for(time_point now) const;

    /// When the server answered last; nothing if it never did.
    [[nodiscard]] std::optional<time_point> last_answer() const { return m_last_answer; }

private:
    std::optional<time_point> m_last_answer;
    std::optional<time_point> m_failing_since;
    std::optional<time_point> m_resumed_at;
};

} // namespace gypsumstep::promotion
