#include "gypsumstep/base/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace gypsumstep {

std::uint64_t stable_hash(std::string_view text)
{
    constexpr std::uint64_t offset = 14695981039346656037ULL;
    constexpr std::uint64_t prime = 1099511628211ULL;
    std::uint64_t hash = offset;
    for (const char character : text) {
        hash = (hash ^ static_cast<unsigned char>(character)) * prime;
    }
    return hash;
}

double rendezvous_score(std::uint64_t hash, std::uint32_t capacity)
{
    constexpr double hash_range = 18446744073709551616.0; // 2^64
    const double unit = (static_cast<double>(hash) + 1.0) / (hash_range + 2.0);
    const double weight = std::max<double>(capacity, 1.0);
    return weight * weight / -std::log(unit);
}

} // namespace gypsumstep
