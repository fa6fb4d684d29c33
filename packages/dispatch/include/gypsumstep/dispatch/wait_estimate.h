/// \file
/// Estimates queue wait times and refuses statements that would wait too long.
#pragma once

#include "gypsumstep/base/time.h"
#include "gypsumstep/dispatch/wait_queue.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace gypsumstep::dispatch {

/// Tracks the moving average of how long a statement occupies a server's slot.
class wait_estimate {
public:
    /// Records that a statement completed after it occupied a slot for \p service_time.
    void on_completed(duration service_time);

    /// Returns the mean time that a statement occupies a slot.
    [[nodiscard]] duration mean() const { return m_mean; }

    /// Returns the expected wait of a statement behind \p ahead others that share \p slots.
    [[nodiscard]] duration expected_wait(std::size_t ahead, std::uint32_t slots) const;

private:
    duration m_mean{30ms}; ///< initial estimate: a usual statement
};

/// The input to the decision whether a statement is admitted to the queue.
struct admission_input {
    duration expected_wait{0};
    duration max_wait{0};        ///< maximum useful wait
    bool server_available{true}; ///< false while no server can run the statement
    duration available_in{0};    ///< expected time until a server can run it, if none is available

    friend bool operator==(const admission_input&, const admission_input&) = default;
};

/// The refusal of a statement of which nothing ran.
struct refusal {
    duration retry_after{0}; ///< time after which a new attempt is expected to be admitted

    friend bool operator==(const refusal&, const refusal&) = default;
};

/// Returns nothing if the statement is admitted to the queue, or the refusal if it would wait
/// longer than \c max_wait.
[[nodiscard]] std::optional<refusal> check_admission(const admission_input& input);

/// What the caller of a statement needs.
struct caller_needs {
    duration max_wait{0};          ///< wait after which it can't be answered within its time limit
    duration target{0};            ///< target for the whole operation; 0 if there is none
    bool opens_transaction{false}; ///< more statements of the operation follow

    friend bool operator==(const caller_needs&, const caller_needs&) = default;
};

/// Returns the longest wait after which a statement is worth starting for its callers: one that
/// lets the operation be answered within its target.
///
/// Work that is queued beyond the target does not add a single answer while the queue lasts,
/// since the slots are busy either way, but it makes everything behind it late. A caller that is
/// refused at once can go elsewhere or return when there is capacity.
[[nodiscard]] duration useful_wait(const caller_needs& needs, duration mean_slot_time);

/// Spreads the returns of refused clients, so that they come at a rate that the servers can run
/// beside new work rather than all at once. The clients of one account are not made to wait for
/// the many that another account was refused for.
class retry_schedule {
public:
    /// Returns the time after which a refused client should return.
    /// \param earliest time after which a new attempt is expected to be admitted
    /// \param start_interval mean time between two starts of statements
    [[nodiscard]] duration next(std::uint32_t priority, const std::string& account,
                                duration earliest, duration start_interval, time_point now);

private:
    using returning = std::pair<std::uint32_t, std::string>; ///< priority and account

    std::map<returning, time_point> m_next; ///< time of the next return
};

/// Time after arrival before which a statement is not refused on a new estimate, since it was
/// admitted on an estimate made at its arrival.
inline constexpr duration recheck_after = 100ms;

/// Returns the waiting statements, in queue order, that are not expected to start before their
/// deadline any more, because more urgent ones arrived since or servers became slower. The C++
/// caller refuses them at once, so that their clients can send them elsewhere.
/// \param expected_wait returns the expected wait of a statement behind \c ahead others, which
///     compete with it: duration(const queued_statement&, std::size_t ahead)
template <class ExpectedWait>
[[nodiscard]] std::vector<queued_statement*> find_unservable(wait_queue& queue, time_point now,
                                                             ExpectedWait&& expected_wait)
{
    std::vector<queued_statement*> found;
    queue.visit_expected([&](queued_statement& item, std::size_t ahead) {
        const bool too_long = item.arrived + recheck_after <= now &&
                              now + expected_wait(item, ahead) >= item.start_deadline;
        const bool unservable = now >= item.start_deadline || too_long;
        if (unservable) {
            found.push_back(&item);
        }
        return !unservable;
    });
    return found;
}

} // namespace gypsumstep::dispatch
