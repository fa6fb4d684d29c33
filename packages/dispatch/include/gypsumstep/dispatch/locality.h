/// \file
/// Decides when reads leave the region of their daemon because its own servers have too much work.
#pragma once

#include "gypsumstep/base/time.h"
#include "gypsumstep/dispatch/server_choice.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace gypsumstep::dispatch {

/// What a read may expect of the servers of its own region.
struct own_load {
    duration waited{0};        ///< since the read arrived
    duration response_time{0}; ///< recent mean of the servers
    std::size_t ahead{0};      ///< reads that wait before it
    std::uint32_t limit{0};    ///< sum of the servers' limits of statements in flight
    bool has_room{false};      ///< a server is below its limit

    friend bool operator==(const own_load&, const own_load&) = default;
};

/// What is known of a server in another region.
struct far_server {
    duration response_time{0};  ///< recent mean, with the round trip
    duration steady_time{0};    ///< the same with less noise, to compare with quiet_time
    duration quiet_time{0};     ///< the same while it had little work; zero if unknown
    time_point measured_at{};   ///< when a response was last measured
    std::uint32_t in_flight{0}; ///< statements of this daemon in progress on it
    bool needs_connection{false};

    friend bool operator==(const far_server&, const far_server&) = default;
};

/// Returns the load of the servers of the own region, or nothing if none of \p candidates is a
/// replica there. A primary alone does not keep reads in its region, since only it runs writes.
[[nodiscard]] std::optional<own_load> own_load_of(std::span<const candidate> candidates,
                                                  duration waited, std::size_t ahead);

/// Returns the expected time from a read's arrival to its answer if it stays in the region.
[[nodiscard]] duration expected_at_home(const own_load& own);

/// Decides for the reads of one group whether they leave the region.
///
/// Leaving begins when reads are expected to take more than a share of their route's target
/// latency at home, and goes on down to a smaller share (hysteresis). Only reads above that share
/// leave, and no more at a time than a window allows, which grows while the other server's response
/// times stay near those of quiet times and shrinks when they rise. Without recent knowledge of
/// the other server, only single reads leave to measure it. Asked only about reads that
/// choose_for_read() would send to another region, so reads stay at home under the usual load.
class locality_policy {
public:
    /// Returns true if a read leaves the region for \p other.
    /// \param target the target latency of its route
    [[nodiscard]] bool may_leave(const own_load& own, const far_server& other, duration target,
                                 time_point now);

    /// Records that a read was sent to another region because of may_leave().
    void on_sent_away(time_point now) { m_last_sent = now; }

    /// Records the answer to such a read, by what is known of its server since.
    void on_answer_from_away(const far_server& other, time_point now);

    /// Ends the leaving once no read has needed it for a while.
    void update(time_point now);

    /// Returns true between the begin and the end of leaving.
    [[nodiscard]] bool is_leaving() const { return m_leaving; }

    /// Returns true if no read lately had to wait so long that it might leave.
    [[nodiscard]] bool is_quiet(time_point now) const { return now >= m_pressed_until; }

    /// Returns how many reads may be in progress on one server of another region.
    [[nodiscard]] double window() const { return m_window; }

private:
    bool m_leaving{false};
    double m_window{1.0};
    time_point m_last_needed{};
    time_point m_pressed_until{};
    time_point m_last_sent{};
    time_point m_last_shrunk{};
};

} // namespace gypsumstep::dispatch
