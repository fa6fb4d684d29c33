/// \file
/// A seeded random generator that gives the same sequence with every standard library.
#pragma once

#include "gypsumstep/base/time.h"

#include <boost/random/mersenne_twister.hpp>

#include <cstdint>

namespace gypsumstep {

/// A seeded pseudorandom generator. Decision code that needs randomness receives one as an
/// argument, so that its runs can be repeated.
class random_source {
public:
    explicit random_source(std::uint64_t seed);

    /// Uniform in [0, bound); \p bound must not be 0.
    [[nodiscard]] std::uint64_t below(std::uint64_t bound);

    /// Uniform in [low, high].
    [[nodiscard]] duration between(duration low, duration high);

    /// Uniform in [0, 1).
    [[nodiscard]] double unit();

    /// True with the given probability in [0, 1].
    [[nodiscard]] bool chance(double probability);

    /// Exponentially distributed with the given mean.
    [[nodiscard]] duration exponential(duration mean);

private:
    boost::random::mt19937_64 m_engine;
};

/// A well-distributed 64-bit hash of two numbers, the same on every VM.
[[nodiscard]] std::uint64_t hash_combine(std::uint64_t left, std::uint64_t right);

} // namespace gypsumstep
