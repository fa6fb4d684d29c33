/// \file
/// The times of a shutdown.
#pragma once

#include "gypsumstep/base/time.h"
#include "gypsumstep/statement/statement.h"

namespace gypsumstep::proxy {

/// During a shutdown, sessions are closed from random times within this window on, so that their
/// clients don't all reconnect elsewhere at once. The load balancer has stopped sending new
/// sessions by then.
inline constexpr duration session_close_window = 2s;

/// A shutdown closes a session that waits for no answer only after it was idle for this time, since
/// a statement may be on its way. A session that just got an answer is closed with it.
inline constexpr duration min_idle_before_close = 100ms;

/// What a shutdown still allows at a time, by its start and the grace period after which the
/// process would be killed.
class shutdown_schedule {
public:
    shutdown_schedule(time_point began_at, duration grace) : m_began_at{began_at}, m_grace{grace} {}

    /// Returns the time from which on every session without a transaction may be closed.
    [[nodiscard]] time_point close_window_end() const { return m_began_at + session_close_window; }

    /// Returns true once open transactions are closed and new ones refused: after half of the grace
    /// period.
    [[nodiscard]] bool ends_transactions(time_point now) const
    {
        return now - m_began_at >= m_grace / 2;
    }

    /// Returns true if a statement of this kind, outside a transaction, is refused since most such
    /// statements could not end any more.
    [[nodiscard]] bool refuses(statement::verb kind, time_point now) const
    {
        const bool begins =
            kind == statement::verb::begin || kind == statement::verb::begin_read_only;
        return now - m_began_at >= m_grace - end_margin - last_statement_margin ||
               (begins && ends_transactions(now));
    }

    /// Returns true once everything that has no answer is answered with an error.
    [[nodiscard]] bool is_over(time_point now) const
    {
        return now - m_began_at >= m_grace - end_margin;
    }

    friend bool operator==(const shutdown_schedule&, const shutdown_schedule&) = default;

private:
    /// Time for the last answers to be sent before the process would be killed.
    static constexpr duration end_margin = 300ms;

    /// Time that a statement usually needs at most.
    static constexpr duration last_statement_margin = 1s;

    time_point m_began_at;
    duration m_grace;
};

} // namespace gypsumstep::proxy
