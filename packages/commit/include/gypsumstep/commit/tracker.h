/// \file
/// Decides when a commit may be acknowledged to the client.
#pragma once

#include "gypsumstep/base/ids.h"
#include "gypsumstep/commit/rules.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace gypsumstep::commit {

/// Log position and granted term of one server, read atomically on that server.
///
/// Only if \c held.entry_term equals the term of a commit, the report shows that the server's log
/// matches the log of that term's primary up to \c held.index.
struct server_report {
    server_id server;
    log_position held; ///< last entry of the server's log
    term granted;      ///< highest term that the server has granted or followed

    friend auto operator<=>(const server_report&, const server_report&) = default;
};

/// State of a commit.
enum class confirmation {
    waiting,      ///< no majority is known to hold it yet
    acknowledged, ///< a majority holds it in its own term; the client may be told
    superseded,   ///< a higher term is known; look it up by key or position instead
};

/// Tracks the log positions and granted terms of the servers of one group.
///
/// Reports may arrive late, duplicated and out of order.
template <commit_rules Rules = standard_rules>
class basic_commit_tracker {
public:
    /// \param servers all servers of the group, each once
    explicit basic_commit_tracker(std::vector<server_id> servers) : m_servers{std::move(servers)} {}

    /// Handles a server's report. Reports of servers outside the group are ignored.
    void report(const server_report& report)
    {
        if (std::find(m_servers.begin(), m_servers.end(), report.server) == m_servers.end()) {
            return;
        }
        observe_term(report.granted);
        const auto [known, inserted] = m_reports.emplace(report.server, report);
        const auto order = [](const server_report& state) {
            return std::pair{state.granted, state.held};
        };
        if (!inserted && order(known->second) < order(report)) {
            known->second = report;
        }
    }

    /// Records that a term exists, e.g. because of an announcement.
    void observe_term(term seen) { m_highest_term = std::max(m_highest_term, seen); }

    /// The highest term named in any report or announcement.
    [[nodiscard]] term highest_term() const { return m_highest_term; }

    /// The current state of the commit at \p position.
    [[nodiscard]] confirmation check(const log_position& position) const
    {
        if (m_highest_term > position.entry_term) {
            return confirmation::superseded;
        }
        return majority_holds(position) ? confirmation::acknowledged : confirmation::waiting;
    }

    /// Whether a majority of servers that have granted no higher term holds \p position in the term
    /// in which it was written.
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

/// The tracker with the rules used in production.
using commit_tracker = basic_commit_tracker<>;

} // namespace gypsumstep::commit
