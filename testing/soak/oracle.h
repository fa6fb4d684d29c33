/// \file
/// Checks the proxy's guarantees against what clients and backend servers observe.
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

/// The commits that a read on a route must see: all that were acknowledged before it, all that
/// are older than the allowed staleness, or in addition to those the session's own.
enum class read_rule : std::uint8_t { everything, bounded_age, own_commits };

/// A statement as its client sent it.
struct sent_statement {
    std::string id;
    std::string text;  ///< for EXECUTE without the name of the prepared statement
    std::string shape; ///< text of the prepared statement; empty for others
    std::uint64_t session{0};
    std::uint64_t attempt{0}; ///< the statements of a transaction share one
    read_rule rule{read_rule::everything};
    std::chrono::steady_clock::time_point began_at{}; ///< time of the attempt's first byte
    std::map<std::string, std::string> values;        ///< session values set by the client
    bool writes{false};
    bool in_transaction{false};

    friend bool operator==(const sent_statement&, const sent_statement&) = default;
};

/// How an attempt ended for its client.
enum class attempt_outcome : std::uint8_t {
    acknowledged, ///< its write or commit was acknowledged
    no_effect,    ///< the client may rely on its writes not being kept
    unknown,
};

/// Records the statements of one run and checks the guarantees on them.
class oracle {
public:
    /// Staleness that routes with the rules bounded_age and own_commits allow.
    static constexpr std::chrono::milliseconds staleness{1000};

    void sent(const sent_statement& statement);
    void executed(const adapter::standins::executed_statement& execution);
    void committed(const adapter::standins::log_entry& entry);
    void rolled_back(const adapter::standins::log_entry& entry);

    /// Reports that a statement was answered with success.
    void answered(const std::string& id, const statement::answer& content);

    /// Reports that a client's connection ended while a statement was unanswered.
    void cut_off(const std::string& id, std::chrono::steady_clock::time_point sent_at);

    /// From now on daemons are only stopped as planned, without any other fault.
    void begin_planned_stops() { m_planned_stops = true; }

    /// Reports the outcome of an attempt.
    void attempt_ended(std::uint64_t attempt, attempt_outcome outcome);

    /// Reports a violated guarantee.
    void violated(const std::string& description) { m_violations.push_back(description); }

    /// Compares the outcomes that clients saw with the primary's final log.
    void check_end(const std::vector<adapter::standins::log_entry>& log);

    [[nodiscard]] const std::vector<std::string>& violations() const { return m_violations; }

    /// Numbers of executed statements, of commits and of attempts by outcome, as text.
    [[nodiscard]] std::string counts() const;

private:
    struct execution_result {
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
        std::string description;
        std::size_t commit{0}; ///< index in m_commits of the commit that the read missed
    };

    void check_pinned(const sent_statement& statement,
                      const adapter::standins::executed_statement& execution);
    void check_fresh(const sent_statement& statement,
                     const adapter::standins::executed_statement& execution);

    std::map<std::string, sent_statement> m_sent;                   ///< by statement id
    std::map<std::string, std::vector<execution_result>> m_results; ///< by statement id
    std::map<std::uint64_t, std::set<std::string>> m_writes;        ///< statement ids by attempt
    std::map<std::uint64_t, attempt_outcome> m_outcomes;            ///< by attempt
    /// Transactions have the id that the servers gave them.
    std::map<std::uint64_t, std::uint64_t> m_attempt_by_transaction;
    std::map<std::uint64_t, std::uint64_t> m_transaction_by_attempt;
    std::vector<commit> m_commits;
    std::vector<stale_read> m_stale_reads; ///< count unless the missed commit was rolled back
    std::vector<std::string> m_violations;
    std::size_t m_executed{0};
    bool m_planned_stops{false};
};

} // namespace gypsumstep::soak
