/// \file
/// The slot time that the floor of one priority level is owed.
#pragma once

#include "gypsumstep/base/time.h"

#include <iterator>

namespace gypsumstep::scheduling {

/// Credit of one priority level. A level with waiting work earns slot time at the rate of its
/// floor, and pays for the slot time that it uses.
///
/// Floors are shares of slot time rather than reserved slots, so that a floor of 10 % also holds
/// on three slots. A level keeps credit only while it has waiting work: other levels use an
/// unused floor, and it is not saved up.
class floor_credit {
public:
    /// Earns what the floor yields in \p elapsed.
    /// \param rate slots that the floor keeps for the level
    /// \param waiting whether the level had waiting work during that time
    void advance(double rate, bool waiting, duration elapsed);

    /// Pays for slot time. Negative if an earlier charge was too high.
    void charge(duration cost);

    /// Slot time that the level is owed, in microseconds; negative after use beyond the floor.
    [[nodiscard]] double value() const { return m_credit; }

private:
    double m_credit{0.0};
    double m_max_credit{0.0};
};

/// Returns the level to serve next among those in [first, last), most urgent first: the one that
/// is owed most, or the first one with waiting work if none is owed anything; \p last if no work
/// waits.
/// \param is_waiting bool(level): whether the level has waiting work
/// \param credit_of double(level): the value of the level's floor_credit
template <class Iterator, class IsWaiting, class CreditOf>
[[nodiscard]] Iterator select_level(Iterator first, Iterator last, IsWaiting&& is_waiting,
                                    CreditOf&& credit_of)
{
    Iterator chosen = last;
    double most_credit = 0.0;
    for (Iterator level = first; level != last; ++level) {
        if (!is_waiting(*level)) {
            continue;
        }
        const double credit = credit_of(*level);
        if (chosen == last || credit > most_credit) {
            chosen = level;
            most_credit = credit > 0.0 ? credit : most_credit;
        }
    }
    return chosen;
}

} // namespace gypsumstep::scheduling
