/// \file
/// Chooses the server that runs a read.
#pragma once

#include "gypsumstep/base/ids.h"
#include "gypsumstep/base/time.h"

#include <cstdint>
#include <optional>
#include <span>

namespace gypsumstep::dispatch {

/// How far a server is from this daemon.
enum class proximity : std::uint8_t { same_domain, same_region, remote };

/// Estimates how far a replica is behind, from what it refused and served.
class replica_lag_estimate {
public:
    /// The server refused a read of what the primary had \p age ago.
    void on_refused(duration age, time_point now);

    /// The server ran a read of what the primary had \p age ago.
    void on_served(duration age);

    /// True if the server would probably refuse a read of that age. False once in a while
    /// for a lagging server, so that it is noticed when it caught up.
    [[nodiscard]] bool expects_refusal(duration age, time_point now) const;

private:
    duration m_lag{0};
    duration m_wait{0};
    time_point m_try_again{};
};

/// One server of the group, as a choice.
struct candidate {
    server_id id;
    bool is_primary{false};
    proximity distance{proximity::remote};
    std::uint32_t in_flight{0};     ///< statements of this daemon that it runs
    std::uint32_t limit{0};         ///< most statements of this daemon at a time
    duration mean_response_time{0}; ///< recent mean from sending a statement to its answer
    bool needs_connection{false};   ///< all open connections are in use
    bool expects_lag_refusal{false};

    friend bool operator==(const candidate&, const candidate&) = default;
};

/// The server that is expected to answer a read first; nothing if all are at their limit.
///
/// The primary is a last resort, since only it can run writes.
[[nodiscard]] std::optional<server_id> choose_for_read(std::span<const candidate> candidates);

/// The statements that one of \p sharing daemons sends to a server of \p slots at a time, at
/// least \p least.
///
/// Together the daemons keep a server's slots busy over the round trips between regions,
/// also if only some of them have work; more would only lengthen the server's own queue,
/// which knows no priorities.
[[nodiscard]] std::uint32_t fair_statement_limit(std::uint32_t slots, std::uint32_t sharing,
                                                 std::uint32_t least);

} // namespace gypsumstep::dispatch
