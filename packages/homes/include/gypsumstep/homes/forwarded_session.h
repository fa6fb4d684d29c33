/// \file
/// The state that a daemon keeps of a session that it forwards to a home, so that it can report
/// the correct outcome to the client when the home is lost.
#pragma once

#include "gypsumstep/base/time.h"
#include "gypsumstep/statement/outcome.h"
#include "gypsumstep/statement/statement.h"

#include <deque>
#include <optional>
#include <set>
#include <string>

namespace gypsumstep::homes {

/// Tracks one forwarded session by its statements and answers.
class forwarded_session {
public:
    /// Records that the client sent a statement.
    void on_statement(const statement::statement& sent, time_point now);

    /// Records that the home completed an answer that left the session in \p state.
    void on_answer(statement::transaction_state state);

    /// Returns true if the client waits for no answer and has no transaction open.
    [[nodiscard]] bool is_idle() const
    {
        return m_pending.empty() && m_state == statement::transaction_state::idle;
    }

    /// Returns true if the client waits for an answer.
    [[nodiscard]] bool is_waiting() const { return !m_pending.empty(); }

    /// Returns how long the oldest unanswered statement has waited; 0 if there is none.
    [[nodiscard]] duration oldest_wait(time_point now) const;

    /// Returns the answer to the oldest unanswered statement when the home is lost, or nothing
    /// if there is none. Only writes outside a transaction and commits of writes, which the home
    /// may have sent on, have an unknown outcome; everything else is rolled back when the home's
    /// connections close.
    [[nodiscard]] std::optional<statement::answer> answer_for_lost_home() const;

private:
    struct pending_statement {
        bool may_commit{false};
        time_point sent_at{};
    };

    std::deque<pending_statement> m_pending;
    statement::transaction_state m_state{statement::transaction_state::idle};
    std::set<std::string, std::less<>> m_prepared_reads;
    bool m_wrote{false}; ///< whether the open transaction has a write
};

} // namespace gypsumstep::homes
