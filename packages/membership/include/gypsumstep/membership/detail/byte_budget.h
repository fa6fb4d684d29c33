/// \file
/// A token bucket of bytes.
#pragma once

#include "gypsumstep/base/time.h"

#include <algorithm>
#include <cstddef>

namespace gypsumstep::membership::detail {

/// Grows with time up to a burst; may be overdrawn, which delays what comes next.
class byte_budget {
public:
    /// \param bytes_per_second what may be spent for ever
    /// \param burst what may be spent at once, in bytes
    byte_budget(double bytes_per_second, double burst)
        : m_rate{bytes_per_second}, m_burst{burst}, m_available{burst}
    {
    }

    /// Adds what has accrued up to \p now.
    void advance(time_point now)
    {
        const std::chrono::duration<double> elapsed = now - m_updated;
        m_available = std::min(m_burst, m_available + (elapsed.count() * m_rate));
        m_updated = now;
    }

    /// Takes \p bytes, also below zero.
    void spend(std::size_t bytes) { m_available -= static_cast<double>(bytes); }

    /// True if \p bytes can be taken without going below zero.
    [[nodiscard]] bool allows(std::size_t bytes) const
    {
        return m_available >= static_cast<double>(bytes);
    }

private:
    double m_rate;
    double m_burst;
    double m_available;
    time_point m_updated{};
};

} // namespace gypsumstep::membership::detail
