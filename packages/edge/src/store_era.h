/// \file
/// Notices that the store went back to an earlier copy of its contents.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace gypsumstep::edge {

/// What was dropped because the store went back, for the log.
struct dropped_state {
    std::size_t calls{0};      ///< queued or unanswered calls to the store and the platform
    std::size_t readings{0};   ///< contents of subjects whose versions count no more
    std::size_t promotions{0}; ///< attempts that had read or claimed something
    std::size_t claims{0};     ///< remembered claims, which are compared with the store's
};

/// Knows the store's era. All answers of the store, and the contents that another daemon passes
/// on, are reported to it; each later era is announced once to all parts that hold something of
/// the store.
class store_era {
public:
    /// Drops what belongs to the era before, and adds it to the counts.
    using listener = std::function<void(dropped_state&)>;

    /// Adds a listener, which is called at each later era in the order in which they were added.
    /// It must not be called any more once its owner is gone, so it outlives the calls to the
    /// store.
    void add_listener(listener on_rolled_back);

    /// Sets the function that is called when the first era becomes known.
    void set_first_listener(std::function<void()> on_first) { m_on_first = std::move(on_first); }

    /// Reports the era of an answer; 0 if it tells none. Calls the listeners if the era is new.
    /// \return false if the answer belongs to an earlier era and must be thrown away
    [[nodiscard]] bool observe(std::uint64_t era);

    /// Returns the newest known era; 0 if the store told none.
    [[nodiscard]] std::uint64_t current() const { return m_current; }

    /// Returns how often the store went back in the life of this process.
    [[nodiscard]] std::uint64_t rollbacks() const { return m_rollbacks; }

    /// Returns the number of answers of earlier eras that were thrown away.
    [[nodiscard]] std::uint64_t late_answers() const { return m_late_answers; }

private:
    std::vector<listener> m_listeners;
    std::function<void()> m_on_first;
    std::uint64_t m_current{0};
    bool m_answered_without{false}; ///< the store has given answers without an era
    std::uint64_t m_rollbacks{0};
    std::uint64_t m_late_answers{0};
};

} // namespace gypsumstep::edge
