#include "oracle.h"

#include <algorithm>

namespace gypsumstep::soak {
namespace {

/// A request that is cut off within this time may not have been read; as the platform's
/// bounds say.
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

void oracle::executed(const executed_statement& ran)
{
    ++m_executed;
    const auto found = m_sent.find(ran.id);
    if (found == m_sent.end()) {
        violated("UNASKED: a server ran " + ran.id + " that no client sent: " + ran.text);
        return;
    }
    const sent_statement& of = found->second;
    if (ran.text != of.text) {
        violated("UNASKED: " + ran.id + " ran as " + ran.text + " instead of " + of.text);
    }
    if (ran.shape != of.shape) {
        violated("PINNED: " + ran.id + " ran the shape " + ran.shape + " instead of " + of.shape);
    }
    if (ran.values != of.values) {
        violated("PINNED: " + ran.id + " ran with other session values than its client set");
    }
    check_pinned(of, ran);
    if (!of.writes && of.text != "COMMIT") {
        check_fresh(of, ran);
    }
    m_runs[ran.id].push_back({ran.signature, ran.rows});
}

void oracle::check_pinned(const sent_statement& of, const executed_statement& ran)
{
    if (!of.in_transaction) {
        // A transaction of the proxy's own may surround a read.
        if (ran.transaction != 0 && m_transaction_owner.contains(ran.transaction)) {
            violated("PINNED: " + ran.id + " ran inside another client's transaction");
        }
        return;
    }
    if (ran.transaction == 0) {
        violated("PINNED: " + ran.id + " ran outside its transaction");
        return;
    }
    const auto owner = m_transaction_owner.emplace(ran.transaction, of.attempt).first;
    const auto own = m_transaction_of.emplace(of.attempt, ran.transaction).first;
    if (owner->second != of.attempt || own->second != ran.transaction) {
        violated("PINNED: " + ran.id + " ran inside another transaction");
    }
}

void oracle::check_fresh(const sent_statement& of, const executed_statement& ran)
{
    const auto before = of.rule == read_rule::everything ? of.began_at : of.began_at - staleness;
    for (std::size_t index = 0; index < m_commits.size(); ++index) {
        const commit& each = m_commits[index];
        const bool own = of.rule == read_rule::own_commits && each.session == of.session &&
                         each.attempt != of.attempt;
        if (!each.acknowledged_at || each.rolled_back ||
            *each.acknowledged_at >= (own ? of.began_at : before)) {
            continue;
        }
        const std::size_t place = each.entry.position.index - 1;
        if (place >= ran.applied || (*ran.log)[place] != each.entry) {
            m_stale.push_back({"STALE: " + ran.id + " lacks " + to_string(each.entry.position) +
                                   (own ? ", its own" : ""),
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
    for (const commit& each : m_commits) {
        if (each.attempt == attempt) {
            violated("TWICE: an attempt committed " + to_string(each.entry.position) + " and " +
                     to_string(entry.position));
        }
    }
    m_commits.push_back({entry, attempt, found->second.session, std::nullopt, false});
}

void oracle::rolled_back(const log_entry& entry)
{
    for (commit& each : m_commits) {
        each.rolled_back = each.rolled_back || each.entry == entry;
    }
}

void oracle::answered(const std::string& id, const statement::answer& content)
{
    const auto found = m_runs.find(id);
    const bool matches =
        found != m_runs.end() &&
        std::any_of(found->second.begin(), found->second.end(), [&](const run& each) {
            return each.signature == content.signature && each.rows == content.rows;
        });
    if (!matches) {
        violated("MIXED: the success of " + id + " is no server's answer to it");
    }
}

void oracle::cut_off(const std::string& id, std::chrono::steady_clock::time_point sent_at)
{
    // What the daemon had not read when it closed an idle session is the client's to repeat.
    const bool at_server = m_runs.contains(id);
    const bool held = std::chrono::steady_clock::now() - sent_at > loss_slack;
    if (m_planned_work && (at_server || held)) {
        violated("LOST: " + id + " was cut off by a planned stop" +
                 (at_server ? ", at a server already" : ""));
    }
}

void oracle::ended(std::uint64_t attempt, attempt_end how)
{
    m_ends[attempt] = how;
    if (how != attempt_end::acknowledged) {
        return;
    }
    for (commit& each : m_commits) {
        if (each.attempt == attempt) {
            each.acknowledged_at = std::chrono::steady_clock::now();
        }
    }
}

void oracle::check_end(const std::vector<log_entry>& log)
{
    std::map<std::uint64_t, const commit*> by_attempt;
    for (const commit& each : m_commits) {
        by_attempt[each.attempt] = &each;
        const std::size_t place = each.entry.position.index - 1;
        const bool in_log = place < log.size() && log[place] == each.entry;
        if (!each.rolled_back && !in_log) {
            violated("LOST: the commit " + to_string(each.entry.position) + " is gone");
        }
    }
    for (const auto& [attempt, writes] : m_writes) {
        const auto end = m_ends.find(attempt);
        const auto found = by_attempt.find(attempt);
        const bool committed = found != by_attempt.end();
        if (end == m_ends.end()) {
            continue;
        }
        if (end->second == attempt_end::promised && committed) {
            violated("REFUSED: " + *writes.begin() + " was promised away and committed as " +
                     to_string(found->second->entry.position));
        }
        if (end->second == attempt_end::acknowledged && !committed) {
            violated("LOST: " + *writes.begin() + " was acknowledged and never committed");
        }
    }
    for (const stale_read& each : m_stale) {
        if (!m_commits[each.commit].rolled_back) {
            violated(each.what);
        }
    }
}

std::string oracle::counts() const
{
    const auto count = [this](attempt_end how) {
        return std::to_string(std::count_if(
            m_ends.begin(), m_ends.end(), [how](const auto& each) { return each.second == how; }));
    };
    return std::to_string(m_executed) + " statements run, " + std::to_string(m_commits.size()) +
           " commits, attempts: " + count(attempt_end::acknowledged) + " acknowledged, " +
           count(attempt_end::promised) + " not run, " + count(attempt_end::unknown) + " unknown";
}

} // namespace gypsumstep::soak
