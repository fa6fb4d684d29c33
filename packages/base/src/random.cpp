#include "gypsumstep/base/random.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <xxhash.h>

#include <array>

namespace gypsumstep {

random_source::random_source(std::uint64_t seed) : m_engine{seed} {}

std::uint64_t random_source::below(std::uint64_t bound)
{
    return boost::random::uniform_int_distribution<std::uint64_t>{0, bound - 1}(m_engine);
}

duration random_source::between(duration low, duration high)
{
    const auto span = static_cast<std::uint64_t>((high - low).count());
    return low + duration{static_cast<duration::rep>(below(span + 1))};
}

double random_source::unit()
{
    return boost::random::uniform_01<double>{}(m_engine);
}

bool random_source::chance(double probability)
{
    return unit() < probability;
}

duration random_source::exponential(duration mean)
{
    const double rate = 1.0 / static_cast<double>(mean.count());
    const double value = boost::random::exponential_distribution<double>{rate}(m_engine);
    return duration{static_cast<duration::rep>(value)};
}

std::uint64_t hash_combine(std::uint64_t left, std::uint64_t right)
{
    const std::array<std::uint64_t, 2> input{left, right};
    return XXH3_64bits(input.data(), sizeof(input));
}

} // namespace gypsumstep
