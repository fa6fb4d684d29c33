/// \file
/// Selects the backend server that runs a read.
#pragma once

#include "gypsumstep/base/ids.h"
#include "gypsumstep/base/time.h"

#include <cstdint>
#include <optional>
#include <span>

namespace gypsumstep::dispatch {

/// Network distance from this daemon to a server.
enum class proximity : std::uint8_t { same_domain, same_region, remote };

/// Estimates the replication lag of a replica from the reads that it refused and served.
class replica_lag_estimate {
public:
    /// Records that the replica refused a read of the state that the primary had \p age ago.
    void on_refused(duration age, time_point now);

    /// Records that the replica ran a read of the state that the primary had \p age ago.
    void on_served(duration age);

    /// Returns true if the replica would probably refuse a read of that age. Returns false
    /// after each backoff, so that a read is tried and shows whether the replica caught up.
    [[nodiscard]] bool expects_refusal(duration age, time_point now) const;

private:
    duration m_lag{0};
    duration m_backoff{0};
    time_point m_next_attempt{};
};

/// A server of the group that may be selected for a read.
struct candidate {
    server_id id;
    bool is_primary{false};
    proximity distance{proximity::remote};
    std::uint32_t in_flight{0};     ///< statements of this daemon in progress on the server
    std::uint32_t limit{0};         ///< maximum of in_flight
    duration mean_response_time{0}; ///< recent mean from sending a statement to its answer
    bool needs_connection{false};   ///< all open connections are in use
    bool expects_lag_refusal{false};

    friend bool operator==(const candidate&, const candidate&) = default;
};

/// Returns the server that is expected to answer a read first, or nothing if no server can
/// take it: each is at its limit or expected to refuse the read for lag.
///
/// The primary gets a penalty in the comparison, since only it can run writes.
[[nodiscard]] std::optional<server_id> choose_for_read(std::span<const candidate> candidates);

/// Returns how many statements each of \p daemons daemons may have in flight on a server with
/// \p slots slots; never less than \p min_limit.
///
/// The limit lets the daemons together keep a server's slots busy in spite of round trips
/// between regions, also if only some of them have work. A higher limit would only lengthen
/// the server's own queue, which does not order by priority.
[[nodiscard]] std::uint32_t fair_statement_limit(std::uint32_t slots, std::uint32_t daemons,
                                                 std::uint32_t min_limit);

} // namespace gypsumstep::dispatch
