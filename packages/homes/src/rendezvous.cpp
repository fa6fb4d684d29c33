#include "rendezvous.h"

#include "gypsumstep/base/random.h"

#include <algorithm>
#include <cmath>

namespace gypsumstep::homes {
namespace {

/// Returns the FNV-1a hash, which is the same on every VM.
std::uint64_t hash_of(std::string_view text)
{
    constexpr std::uint64_t offset = 14695981039346656037ULL;
    constexpr std::uint64_t prime = 1099511628211ULL;
    std::uint64_t hash = offset;
    for (const char character : text) {
        hash = (hash ^ static_cast<unsigned char>(character)) * prime;
    }
    return hash;
}

double weighted_score(const daemon_entry& daemon, std::uint64_t hash)
{
    constexpr double hash_range = 18446744073709551616.0; // 2^64
    const double unit = (static_cast<double>(hash) + 1.0) / (hash_range + 2.0);
    const double capacity = std::max<double>(daemon.capacity, 1.0);
    return capacity * capacity / -std::log(unit);
}

} // namespace

double group_score(const daemon_entry& daemon, std::string_view service)
{
    return weighted_score(daemon, hash_combine(hash_of(daemon.name), hash_of(service)));
}

double account_score(const daemon_entry& daemon, std::string_view service, std::string_view account)
{
    const std::uint64_t subject = hash_combine(hash_of(service), hash_of(account));
    return weighted_score(daemon, hash_combine(hash_of(daemon.name), subject));
}

std::uint64_t session_hash(std::string_view daemon, std::uint64_t session_number)
{
    return hash_combine(hash_of(daemon), session_number);
}

} // namespace gypsumstep::homes
