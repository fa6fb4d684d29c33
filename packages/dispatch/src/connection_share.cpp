#include "gypsumstep/dispatch/connection_share.h"

#include <algorithm>

namespace gypsumstep::dispatch {
namespace {

/// One in this many connections is not given to any daemon. A server counts the connections of a
/// lost daemon for 3 s, in which a restarted one opens about five (of 56).
constexpr std::uint32_t reserve_divisor = 9;

/// Connections that a daemon keeps at a replica of another region.
constexpr std::uint32_t far_replica_connections = 2;

/// Weights of a daemon at the primary. One in the primary's region also runs its reads there.
constexpr std::uint32_t near_primary_weight = 3;
constexpr std::uint32_t far_primary_weight = 2;

} // namespace

std::uint32_t connection_share(const share_input& input)
{
    const std::uint32_t homes = std::max(input.homes, 1U);
    const std::uint32_t near = std::min(input.homes_near, homes);
    const std::uint32_t far = homes - near;
    const std::uint32_t available = input.max_connections - input.max_connections / reserve_divisor;
    const std::uint32_t equal_part = std::max(available / homes, 1U);
    if (near == 0 || far == 0 || equal_part <= far_replica_connections) {
        return equal_part;
    }
    if (input.is_primary) {
        const std::uint32_t weights = near * near_primary_weight + far * far_primary_weight;
        const std::uint32_t weight = input.is_near ? near_primary_weight : far_primary_weight;
        return std::max(available * weight / weights, 1U);
    }
    return input.is_near ? (available - far * far_replica_connections) / near
                         : far_replica_connections;
}

std::uint32_t count_homes_near(const std::map<std::string, std::uint32_t>& homes_by_region,
                               const std::set<std::string>& served_regions,
                               const std::string& region)
{
    std::uint32_t count = 0;
    for (const auto& [name, homes] : homes_by_region) {
        count += name == region || !served_regions.contains(name) ? homes : 0;
    }
    return count;
}

} // namespace gypsumstep::dispatch
