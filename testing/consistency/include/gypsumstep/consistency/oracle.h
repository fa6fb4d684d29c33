/// \file
/// Knows everything that happened in a run and asserts the invariants.
#pragma once

#include "gypsumstep/base/ids.h"
#include "gypsumstep/base/position.h"
#include "gypsumstep/base/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gypsumstep::consistency {

/// One entry of a fake server's log. Key 0 is the opening entry of a term.
struct log_entry {
    term entry_term;
    std::uint64_t key{0};
    std::uint32_t attempt{0}; ///< counts how often the key was sent

    friend auto operator<=>(const log_entry&, const log_entry&) = default;
};

/// Whether the write of \p key was declared idempotent.
[[nodiscard]] constexpr bool is_idempotent(std::uint64_t key)
{
    return key % 4 == 0;
}

/// Counts of one run.
struct run_counts {
    std::uint64_t acknowledged{0};
    std::uint64_t not_run{0};
    std::uint64_t unknown{0}; ///< told to the caller at its deadline, asked about later
    std::uint64_t lookups{0};
    std::uint64_t reads{0};
    std::uint64_t replica_reads{0};
    std::uint64_t primaries{0};  ///< terms opened
    std::uint64_t unresolved{0}; ///< requests without an outcome at the end
};

/// Collects violations and, when asked to, a trace as JSON lines.
class oracle {
public:
    explicit oracle(bool tracing) : m_tracing{tracing} {}

    /// A server opens a term; a restarted primary never opens its term again.
    void opened(time_point now, term opened_term, server_id server);

    /// A daemon confirms a write to its caller.
    void acknowledged(time_point now, std::uint64_t key, const log_position& position);

    /// A daemon says that an attempt did not run.
    void not_run(time_point now, std::uint64_t key, std::uint32_t attempt);

    /// A session is shown \p seen and must see at least \p needed.
    ///
    /// Both are ascending.
    void read(time_point now, std::uint64_t session, const std::vector<std::uint64_t>& needed,
              const std::vector<std::uint64_t>& seen);

    /// Compares the log of the last primary with what callers were told.
    void final_log(time_point now, const std::vector<log_entry>& log);

    /// Adds a violation.
    void violate(time_point now, const std::string& what);

    /// Adds a line to the trace: what happened, to whom, and details.
    void trace(time_point now, const std::string& what, std::uint64_t subject,
               const std::string& detail);

    [[nodiscard]] const std::vector<std::string>& violations() const { return m_violations; }
    [[nodiscard]] const std::vector<std::string>& lines() const { return m_lines; }
    [[nodiscard]] bool tracing() const { return m_tracing; }

    std::function<void(server_id)> on_opened; ///< called when a term is opened
    run_counts counts;
    std::optional<time_point> last_acknowledged;      ///< of any term
    std::map<term, time_point> first_acknowledgement; ///< of each term
    std::map<term, time_point> last_acknowledgement;  ///< of each term

private:
    bool m_tracing;
    std::vector<std::string> m_violations;
    std::vector<std::string> m_lines;
    std::map<term, server_id> m_primaries;
    std::map<std::uint64_t, std::pair<term, std::uint64_t>> m_committed; ///< index: term, key
    std::set<std::pair<std::uint64_t, std::uint32_t>> m_not_run;
};

} // namespace gypsumstep::consistency
