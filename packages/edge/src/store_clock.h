/// \file
/// The store's steady clock, as its answers tell it.
#pragma once

#include "boot_clock.h"

#include "gypsumstep/promotion/claim.h"

namespace gypsumstep::edge {

/// Carries the store's clock on between its answers.
class store_clock {
public:
    /// An answer said that it is \p now.
    void set(promotion::store_time now)
    {
        m_offset = now - local_now();
        m_known = true;
    }

    /// The store's time; meaningless while it is not known.
    [[nodiscard]] promotion::store_time now() const { return local_now() + m_offset; }

    [[nodiscard]] bool known() const { return m_known; }

private:
    [[nodiscard]] static promotion::store_time local_now()
    {
        return std::chrono::floor<promotion::store_time>(boot_now().time_since_epoch());
    }

    promotion::store_time m_offset{0}; ///< the store's clock less this VM's
    bool m_known{false};
};

} // namespace gypsumstep::edge
