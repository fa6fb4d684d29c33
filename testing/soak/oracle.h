/// \file
/// Checks the proxy's promises from what clients and backend servers see.
#pragma once

#include "group_standin.h"

#include "gypsumstep/base/time.h"
#include "gypsumstep/statement/outcome.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gypsumstep::soak {

/// What a read on a route must see.
enum class read_rule : std::uint8_t { everything, bounded_age, own_commits };

/// A statement as its client sent it.
struct sent_statement {
    std::string id;
    std::string text; ///< an execute without the client's name of the statement
    std::string shape;
    std::uint64_t session{0};
    std::uint64_t attempt{0}; ///< one for a whole transaction
    read_rule rule{read_rule::everything};
    std::chrono::steady_clock::time_point began_at{}; ///< first byte of the attempt
    std::map<std::string, std::string> values;        ///< of the session
    bool writes{false};
    bool in_transaction{false};

    friend bool operator==(const sent_statement&, const sent_statement&) = default;
};

/// How a client's attempt ended.
enum class attempt_end : std::uint8_t {
    acknowledged, ///< its write or commit was acknowledged
    promised,     ///< the client was told that nothing is kept
    unknown,
};

/// Follows all statements of one run.
class oracle {
public:
    /// Staleness that routes of bounded age and own commits allow.
    static constexpr std::chrono::milliseconds staleness{1000};

    void sent(const sent_statement& statement);
    void executed(const adapter::standins::executed_statement& ran);
    void committed(const adapter::standins::log_entry& entry);
    void rolled_back(const adapter::standins::log_entry& entry);

    /// A statement was answered with success.
    void answered(const std::string& id, const statement::answer& content);

    /// The connection of a client ended while a statement had no answer.
    void cut_off(const std::string& id, std::chrono::steady_clock::time_point sent_at);

    /// From now on the daemons are only stopped as planned, and nothing else harms them.
    void begin_planned_work() { m_planned_work = true; }

    /// An attempt is over.
    void ended(std::uint64_t attempt, attempt_end how);

    void violated(const std::string& what) { m_violations.push_back(what); }

    /// Compares the clients' outcomes with the primary's log.
    void check_end(const std::vector<adapter::standins::log_entry>& log);

    [[nodiscard]] const std::vector<std::string>& violations() const { return m_violations; }

    /// Statements that ran, attempts that were acknowledged and that were promised away.
    [[nodiscard]] std::string counts() const;

private:
    struct run {
        std::string signature;
        std::vector<std::string> rows;
    };
    struct commit {
        adapter::standins::log_entry entry;
        std::uint64_t attempt{0};
        std::uint64_t session{0};
        std::optional<std::chrono::steady_clock::time_point> acknowledged_at;
        bool rolled_back{false};
    };
    struct stale_read {
        std::string what;
        std::size_t commit{0};
    };

    void check_pinned(const sent_statement& of, const adapter::standins::executed_statement& ran);
    void check_fresh(const sent_statement& of, const adapter::standins::executed_statement& ran);

    std::map<std::string, sent_statement> m_sent;
    std::map<std::string, std::vector<run>> m_runs;
    std::map<std::uint64_t, std::set<std::string>> m_writes;    ///< by attempt
    std::map<std::uint64_t, attempt_end> m_ends;                ///< by attempt
    std::map<std::uint64_t, std::uint64_t> m_transaction_owner; ///< servers' to attempts
    std::map<std::uint64_t, std::uint64_t> m_transaction_of;    ///< attempts to servers'
    std::vector<commit> m_commits;
    std::vector<stale_read> m_stale; ///< unless the commit was rolled back
    std::vector<std::string> m_violations;
    std::size_t m_executed{0};
    bool m_planned_work{false};
};

} // namespace gypsumstep::soak
