/// \file
/// Estimates the store's steady clock from the times in its answers.
#pragma once

#include "boot_clock.h"

#include "gypsumstep/promotion/claim.h"

namespace gypsumstep::edge {

/// Extrapolates the store's clock between its answers with this VM's clock.
class store_clock {
public:
    /// Sets the store's time to \p now, as read from an answer.
    void set(promotion::store_time now)
    {
        m_offset = now - local_now();
        m_known = true;
    }

    /// The store's time; only valid if known() is true.
    [[nodiscard]] promotion::store_time now() const { return local_now() + m_offset; }

    [[nodiscard]] bool known() const { return m_known; }

private:
    [[nodiscard]] static promotion::store_time local_now()
    {
        return std::chrono::floor<promotion::store_time>(boot_now().time_since_epoch());
    }

    promotion::store_time m_offset{0}; ///< the store's clock minus this VM's
    bool m_known{false};
};

} // namespace gypsumstep::edge
