/// \file
/// Decides when a commit may be acknowledged to its caller.
#pragma once

#include "gypsumstep/base/ids.h"
#include "gypsumstep/commit/rules.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace gypsumstep::commit {

/// What one server holds, read at one moment on that server.
///
/// Only a report whose \c held.entry_term equals the term of a commit says that
/// the server's log agrees with that term's primary up to \c held.index.
struct server_report {
    server_id server;
    log_position held; ///< last entry of the server's log
    term granted;      ///< highest term that the server has granted or followed

    friend auto operator<=>(const server_report&, const server_report&) = default;
};

/// What may be said about a commit.
enum class confirmation {
    waiting,      ///< no majority is known to hold it yet
    acknowledged, ///< a majority holds it in its own term: tell the caller
    superseded,   ///< a higher term is known: look it up by key or position instead
};

/// Follows what the servers of one group hold.
///
/// Reports may arrive late, doubled and out of order.
template <commit_rules Rules = standard_rules>
class basic_commit_tracker {
public:
    /// \param servers the group's servers, all of them, each once
    explicit basic_commit_tracker(std::vector<server_id> servers) : m_servers{std::move(servers)} {}

    /// Takes in what a server holds; one from outside the group is ignored.
    void report(const server_report& report)
    {
        if (std::find(m_servers.begin(), m_servers.end(), report.server) == m_servers.end()) {
            return;
        }
        observe_term(report.granted);
        const auto [known, inserted] = m_reports.emplace(report.server, report);
        const auto order = [](const server_report& r) { return std::pair{r.granted, r.held}; };
        if (!inserted && order(known->second) < order(report)) {
            known->second = report;
        }
    }

    /// Takes in that a term exists, e.g. from an announcement.
    void observe_term(term seen) { m_highest_term = std::max(m_highest_term, seen); }

    /// The highest term that any report or announcement named.
    [[nodiscard]] term highest_term() const { return m_highest_term; }

    /// What may be said about the commit at \p position now.
    [[nodiscard]] confirmation check(const log_position& position) const
    {
        if (m_highest_term > position.entry_term) {
            return confirmation::superseded;
        }
        return majority_holds(position) ? confirmation::acknowledged : confirmation::waiting;
    }

    /// Whether a majority, none of which granted a higher term, holds \p position
    /// in the term in which it was written.
    [[nodiscard]] bool majority_holds(const log_position& position) const
    {
        const auto holds = [&](const auto& entry) {
            const server_report& known = entry.second;
            return known.granted <= position.entry_term &&
                   known.held.entry_term == position.entry_term &&
                   known.held.index >= position.index;
        };
        const auto count = std::count_if(m_reports.begin(), m_reports.end(), holds);
        return static_cast<std::size_t>(count) >= Rules::acknowledgements(m_servers.size());
    }

private:
    std::vector<server_id> m_servers;
    std::map<server_id, server_report> m_reports;
    term m_highest_term;
};

/// The tracker of production.
using commit_tracker = basic_commit_tracker<>;

} // namespace gypsumstep::commit
