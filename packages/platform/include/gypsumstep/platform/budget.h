/// \file
/// A bound on the requests that one daemon sends to the platform. Pure.
#pragma once

#include "gypsumstep/base/random.h"
#include "gypsumstep/base/time.h"

#include <cstdint>

namespace gypsumstep::platform {

/// How fast tokens return, and how many may gather.
struct budget_limits {
    double per_second{1.0}; ///< tokens a second, above 0
    double burst{1.0};      ///< most tokens kept, at least 1

    friend bool operator==(const budget_limits&, const budget_limits&) = default;
};

/// A token bucket: each request takes one token or is not sent.
class budget {
public:
    explicit budget(budget_limits limits);

    /// Takes a token; false if there is none, and counts the refusal.
    [[nodiscard]] bool take(time_point now);

    [[nodiscard]] std::uint64_t taken() const { return m_taken; }
    [[nodiscard]] std::uint64_t refused() const { return m_refused; }

private:
    budget_limits m_limits;
    double m_tokens;
    time_point m_refilled{};
    std::uint64_t m_taken{0};
    std::uint64_t m_refused{0};
};

/// Bounds of the wait before a request is sent again.
struct backoff_limits {
    duration first{100'000};  ///< upper bound of the first wait
    duration most{5'000'000}; ///< upper bound of every wait

    friend bool operator==(const backoff_limits&, const backoff_limits&) = default;
};

/// A random wait in (0, bound], the bound doubling with each attempt from 0.
[[nodiscard]] duration backoff(const backoff_limits& limits, std::uint32_t attempt,
                               random_source& random);

} // namespace gypsumstep::platform
