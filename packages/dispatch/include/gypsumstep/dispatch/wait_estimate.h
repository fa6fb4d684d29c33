/// \file
/// Estimates queue wait times and refuses statements that would wait too long.
#pragma once

#include "gypsumstep/base/time.h"
#include "gypsumstep/dispatch/wait_queue.h"

#include <cstddef>
#include <cstdint>
#include <optional>
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

/// Time after arrival before which a statement is not refused on a new estimate, since it was
/// admitted on an estimate made at its arrival.
inline constexpr duration recheck_after = 100ms;

/// Returns the waiting statements, in queue order, that are not expected to start before their
/// deadline any more, because more urgent ones arrived since or servers became slower. The C++
/// caller refuses them at once, so that their clients can send them elsewhere.
/// \param expected_wait returns the expected wait of a statement behind \c ahead others:
///     duration(const queued_statement&, std::size_t ahead)
template <class ExpectedWait>
[[nodiscard]] std::vector<queued_statement*> find_unservable(wait_queue& queue, time_point now,
                                                             ExpectedWait&& expected_wait)
{
    std::vector<queued_statement*> found;
    std::size_t ahead = 0;
    queue.visit([&](queued_statement& item) {
        const bool too_long = item.arrived + recheck_after <= now &&
                              now + expected_wait(item, ahead) >= item.start_deadline;
        if (now >= item.start_deadline || too_long) {
            found.push_back(&item);
        }
        else {
            ++ahead;
        }
        return true;
    });
    return found;
}

} // namespace gypsumstep::dispatch
