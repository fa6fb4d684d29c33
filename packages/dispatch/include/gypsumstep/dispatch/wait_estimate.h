/// \file
/// How long new work would wait, and whether it is refused at once instead.
#pragma once

#include "gypsumstep/base/time.h"
#include "gypsumstep/dispatch/wait_queue.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace gypsumstep::dispatch {

/// Follows how long statements occupy a place at a server.
class wait_estimate {
public:
    /// A statement left its server after \p occupied.
    void on_completed(duration occupied);

    /// Mean time that a statement occupies a place.
    [[nodiscard]] duration mean() const { return m_mean; }

    /// The wait behind \p ahead statements that share \p places.
    [[nodiscard]] duration expected_wait(std::size_t ahead, std::uint32_t places) const;

private:
    duration m_mean{30ms}; ///< a usual statement, until the first one was measured
};

/// What decides whether a statement is taken into the queue.
struct admission_input {
    duration expected_wait{0};
    duration max_wait{0};        ///< longest useful wait
    bool server_available{true}; ///< false while nothing can run it
    duration available_in{0};    ///< expected end of that, if not available

    friend bool operator==(const admission_input&, const admission_input&) = default;
};

/// A refusal before anything ran.
struct refusal {
    duration retry_after{0}; ///< when a new attempt is expected to be served

    friend bool operator==(const refusal&, const refusal&) = default;
};

/// Nothing if the statement is taken in; else it is refused at once, since it would
/// wait longer than it can.
[[nodiscard]] std::optional<refusal> check_admission(const admission_input& input);

/// The first estimate admitted a statement; it is judged again after this time.
inline constexpr duration recheck_after = 100ms;

/// Waiting statements, in order, that would not start in time any more, because more urgent
/// ones arrived since or servers became slower. They are refused at once, so that their
/// callers can turn elsewhere.
/// \param expected_wait of a statement behind a number of others:
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
