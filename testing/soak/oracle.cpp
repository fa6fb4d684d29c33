#include "oracle.h"

#include <algorithm>

namespace gypsumstep::soak {
namespace {

/// A statement that is cut off within this time after it was sent may not have been read by the
/// daemon; the platform's bounds allow that.
constexpr std::chrono::milliseconds loss_slack{200};

} // namespace

using adapter::standins::executed_statement;
using adapter::standins::log_entry;

void oracle::sent(const sent_statement& statement)
{
    m_sent.emplace(statement.id, statement);
    if (statement.writes) {
        m_writes[statement.attempt].insert(statement.id);
    }
}

void oracle::executed(const executed_statement& execution)
{
    ++m_executed;
    const auto found = m_sent.find(execution.id);
    if (found == m_sent.end()) {
        violated("UNASKED: a server ran " + execution.id +
                 " that no client sent: " + execution.text);
        return;
    }
    const sent_statement& statement = found->second;
    if (execution.text != statement.text) {
        violated("UNASKED: " + execution.id + " ran as " + execution.text + " instead of " +
                 statement.text);
    }
    if (execution.shape != statement.shape) {
        violated("PINNED: " + execution.id + " ran the shape " + execution.shape + " instead of " +
                 statement.shape);
    }
    if (execution.values != statement.values) {
        violated("PINNED: " + execution.id + " ran with other session values than its client set");
    }
    check_pinned(statement, execution);
    if (!statement.writes && statement.text != "COMMIT") {
        check_fresh(statement, execution);
    }
    m_results[execution.id].push_back({execution.signature, execution.rows});
}

void oracle::check_pinned(const sent_statement& statement, const executed_statement& execution)
{
    if (!statement.in_transaction) {
        // A transaction of the proxy's own may surround a read.
        if (execution.transaction != 0 &&
            m_attempt_by_transaction.contains(execution.transaction)) {
            violated("PINNED: " + execution.id + " ran inside another client's transaction");
        }
        return;
    }
    if (execution.transaction == 0) {
        violated("PINNED: " + execution.id + " ran outside its transaction");
        return;
    }
    const auto attempt =
        m_attempt_by_transaction.emplace(execution.transaction, statement.attempt).first;
    const auto transaction =
        m_transaction_by_attempt.emplace(statement.attempt, execution.transaction).first;
    if (attempt->second != statement.attempt || transaction->second != execution.transaction) {
        violated("PINNED: " + execution.id + " ran inside another transaction");
    }
}

void oracle::check_fresh(const sent_statement& statement, const executed_statement& execution)
{
    const auto required_before = statement.rule == read_rule::everything
                                     ? statement.began_at
                                     : statement.began_at - staleness;
    for (std::size_t index = 0; index < m_commits.size(); ++index) {
        const commit& candidate = m_commits[index];
        const bool is_own = statement.rule == read_rule::own_commits &&
                            candidate.session == statement.session &&
                            candidate.attempt != statement.attempt;
        if (!candidate.acknowledged_at || candidate.rolled_back ||
            *candidate.acknowledged_at >= (is_own ? statement.began_at : required_before)) {
            continue;
        }
        const std::size_t log_index = candidate.entry.position.index - 1;
        if (log_index >= execution.applied || (*execution.log)[log_index] != candidate.entry) {
            m_stale_reads.push_back({"STALE: " + execution.id + " lacks " +
                                         to_string(candidate.entry.position) +
                                         (is_own ? ", its own" : ""),
                                     index});
        }
    }
}

void oracle::committed(const log_entry& entry)
{
    const auto found = m_sent.find(entry.writes.empty() ? std::string{} : entry.writes.front());
    if (found == m_sent.end()) {
        return;
    }
    const std::uint64_t attempt = found->second.attempt;
    for (const commit& candidate : m_commits) {
        if (candidate.attempt == attempt) {
            violated("TWICE: an attempt committed " + to_string(candidate.entry.position) +
                     " and " + to_string(entry.position));
        }
    }
    m_commits.push_back({entry, attempt, found->second.session, std::nullopt, false});
}

void oracle::rolled_back(const log_entry& entry)
{
    for (commit& candidate : m_commits) {
        candidate.rolled_back = candidate.rolled_back || candidate.entry == entry;
    }
}

void oracle::answered(const std::string& id, const statement::answer& content)
{
    const auto found = m_results.find(id);
    const bool matches =
        found != m_results.end() && std::any_of(found->second.begin(), found->second.end(),
                                                [&](const execution_result& result) {
                                                    return result.signature == content.signature &&
                                                           result.rows == content.rows;
                                                });
    if (!matches) {
        violated("MIXED: the success of " + id + " is no server's answer to it");
    }
}

void oracle::cut_off(const std::string& id, std::chrono::steady_clock::time_point sent_at)
{
    // A daemon may close an idle session while a statement is on its way to it; the client repeats
    // a statement that the daemon had not read.
    const bool at_server = m_results.contains(id);
    const bool past_slack = std::chrono::steady_clock::now() - sent_at > loss_slack;
    if (m_planned_stops && (at_server || past_slack)) {
        violated("LOST: " + id + " was cut off by a planned stop" +
                 (at_server ? ", at a server already" : ""));
    }
}

void oracle::attempt_ended(std::uint64_t attempt, attempt_outcome outcome)
{
    m_outcomes[attempt] = outcome;
    if (outcome != attempt_outcome::acknowledged) {
        return;
    }
    for (commit& candidate : m_commits) {
        if (candidate.attempt == attempt) {
            candidate.acknowledged_at = std::chrono::steady_clock::now();
        }
    }
}

void oracle::check_end(const std::vector<log_entry>& log)
{
    std::map<std::uint64_t, const commit*> by_attempt;
    for (const commit& candidate : m_commits) {
        by_attempt[candidate.attempt] = &candidate;
        const std::size_t log_index = candidate.entry.position.index - 1;
        const bool in_log = log_index < log.size() && log[log_index] == candidate.entry;
        if (!candidate.rolled_back && !in_log) {
            violated("LOST: the commit " + to_string(candidate.entry.position) + " is gone");
        }
    }
    for (const auto& [attempt, writes] : m_writes) {
        const auto outcome = m_outcomes.find(attempt);
        const auto found = by_attempt.find(attempt);
        const bool committed = found != by_attempt.end();
        if (outcome == m_outcomes.end()) {
            continue;
        }
        if (outcome->second == attempt_outcome::no_effect && committed) {
            violated("REFUSED: " + *writes.begin() + " was reported as not run and committed as " +
                     to_string(found->second->entry.position));
        }
        if (outcome->second == attempt_outcome::acknowledged && !committed) {
            violated("LOST: " + *writes.begin() + " was acknowledged and never committed");
        }
    }
    for (const stale_read& read : m_stale_reads) {
        if (!m_commits[read.commit].rolled_back) {
            violated(read.description);
        }
    }
}

std::string oracle::counts() const
{
    const auto count = [this](attempt_outcome outcome) {
        return std::to_string(
            std::count_if(m_outcomes.begin(), m_outcomes.end(),
                          [outcome](const auto& entry) { return entry.second == outcome; }));
    };
    return std::to_string(m_executed) + " statements run, " + std::to_string(m_commits.size()) +
           " commits, attempts: " + count(attempt_outcome::acknowledged) + " acknowledged, " +
           count(attempt_outcome::no_effect) + " not run, " + count(attempt_outcome::unknown) +
           " unknown";
}

} // namespace gypsumstep::soak
