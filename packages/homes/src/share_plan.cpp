#include "gypsumstep/homes/share_plan.h"

namespace gypsumstep::homes {

std::uint32_t connections_per_slot(const server_limits& limits)
{
    return (limits.connections / (limits.slots + 1)) + 1;
}

std::uint32_t slots_for(const server_limits& limits, std::uint32_t connections)
{
    return connections / connections_per_slot(limits);
}

std::uint32_t planned_connections(const server_limits& limits, home_duty duty)
{
    const std::uint32_t per_slot = connections_per_slot(limits);
    const std::uint32_t slots = slots_for(limits, limits.connections);
    const std::uint32_t spare = limits.connections - (slots * per_slot);
    const std::uint32_t second = ((slots / 2) * per_slot) + (spare / 2);
    switch (duty) {
    case home_duty::none:
        return 0;
    case home_duty::first:
        return limits.connections - second;
    case home_duty::second:
        return second;
    case home_duty::sole:
        return limits.connections;
    }
    return 0;
}

} // namespace gypsumstep::homes
