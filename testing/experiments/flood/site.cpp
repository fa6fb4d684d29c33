#include "flood/site.h"

namespace gypsumstep::flood {

namespace {

constexpr std::array<rank_work, rank_count> usual_work{{
    {20ms, 200ms, 0.0, 0.066, true},
    {10ms, 300ms, 0.2, 0.25, false},
    {15ms, 1s, 0.1, 0.25, false},
}};

} // namespace

site holmgaard()
{
    site value;
    value.name = "holmgaard";
    value.group_slots = {5, 5, 5};
    value.work = usual_work;
    return value;
}

site mixlume()
{
    site value;
    value.name = "mixlume";
    value.group_slots = {3, 3, 3};
    value.connections = 40;
    value.connect_time = 30ms;
    value.work = usual_work;
    return value;
}

site mixed()
{
    site value = holmgaard();
    value.name = "mixed";
    value.group_slots = {5, 5, 5, 3, 3, 3};
    value.connect_time = 30ms;
    return value;
}

admission::queue_settings settings_of(const site& value)
{
    admission::queue_settings settings;
    for (std::size_t i = 0; i < rank_count; ++i) {
        settings.ranks[i].slot_floor = value.work[i].floor;
        settings.ranks[i].default_timeout = value.work[i].target;
    }
    return settings;
}

} // namespace gypsumstep::flood
