#include "gypsumstep/homes/forwarded_session.h"

namespace gypsumstep::homes {

using statement::transaction_state;
using statement::verb;

void forwarded_session::on_statement(const statement::statement& sent, time_point now)
{
    const bool in_transaction = m_state != transaction_state::idle;
    bool writes = false;
    switch (sent.kind) {
    case verb::prepare:
        if (sent.prepared_access == statement::access::read) {
            m_prepared_reads.insert(sent.name);
        }
        else {
            m_prepared_reads.erase(sent.name);
        }
        break;
    case verb::write:
        writes = true;
        break;
    case verb::execute:
        writes = !m_prepared_reads.contains(sent.name);
        break;
    case verb::begin:
    case verb::begin_read_only:
        m_wrote = false;
        break;
    default:
        break;
    }
    m_wrote = m_wrote || (writes && in_transaction);
    const bool commits = sent.kind == verb::commit ? m_wrote : writes && !in_transaction;
    // A statement sent before the previous answer runs in a transaction state that is not yet
    // known.
    const bool pipelined = !m_pending.empty();
    m_pending.push_back({commits || (pipelined && (writes || sent.kind == verb::commit)), now});
}

void forwarded_session::on_answer(transaction_state state)
{
    if (!m_pending.empty()) {
        m_pending.pop_front();
    }
    m_state = state;
    if (state == transaction_state::idle) {
        m_wrote = false;
    }
}

duration forwarded_session::oldest_wait(time_point now) const
{
    return m_pending.empty() ? duration{0} : now - m_pending.front().sent_at;
}

std::optional<statement::answer> forwarded_session::answer_for_lost_home() const
{
    if (m_pending.empty()) {
        return std::nullopt;
    }
    statement::answer content;
    if (m_pending.front().may_commit) {
        content.error = statement::error_class::outcome_unknown;
        content.error_text = "the daemon that ran the statement was lost; it may have run";
    }
    else {
        content.error = statement::error_class::aborted;
        content.error_text = "the daemon that ran the statement was lost; nothing is kept";
    }
    return content;
}

} // namespace gypsumstep::homes
