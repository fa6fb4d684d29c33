/// \file
/// What a daemon has to know of a session that a home serves, to end it truthfully when
/// the home is lost.
#pragma once

#include "gypsumstep/base/time.h"
#include "gypsumstep/statement/outcome.h"
#include "gypsumstep/statement/statement.h"

#include <deque>
#include <optional>
#include <set>
#include <string>

namespace gypsumstep::homes {

/// Follows one session by the statements and answers that pass.
class forwarded_session {
public:
    /// The client sent a statement.
    void on_statement(const statement::statement& sent, time_point now);

    /// The home completed an answer that left the session in \p state.
    void on_answer(statement::transaction_state state);

    /// True if the client waits for nothing and has no transaction open.
    [[nodiscard]] bool is_idle() const
    {
        return m_pending.empty() && m_state == statement::transaction_state::idle;
    }

    /// How long the oldest unanswered statement has waited.
    [[nodiscard]] duration oldest_wait(time_point now) const;

    /// The answer to the statement in progress when the home was lost; nothing if none is.
    /// Only writes and commits of writes that the home may have sent on have an unknown
    /// outcome; everything else is rolled back with the home's connections.
    [[nodiscard]] std::optional<statement::answer> answer_for_lost_home() const;

private:
    struct pending {
        bool may_commit{false};
        time_point sent_at{};
    };

    std::deque<pending> m_pending;
    statement::transaction_state m_state{statement::transaction_state::idle};
    std::set<std::string, std::less<>> m_prepared_reads;
    bool m_wrote{false}; ///< in the transaction in progress
};

} // namespace gypsumstep::homes
