#include "flood/scenario.h"

#include "flood/baselines.h"
#include "flood/fleet_model.h"

namespace gypsumstep::flood {

std::string_view to_string(variant value)
{
    switch (value) {
    case variant::ranked:
        return "ranked";
    case variant::first_come_first_served:
        return "first_come_first_served";
    case variant::strict_priority:
        return "strict_priority";
    case variant::every_daemon_connects:
        return "every_daemon_connects";
    }
    return "unknown";
}

outcome run(const scenario& value)
{
    switch (value.selected_variant) {
    case variant::first_come_first_served:
        return fleet_model<first_come_first_served>{value}.run();
    case variant::strict_priority:
        return fleet_model<strict_priority>{value}.run();
    case variant::ranked:
    case variant::every_daemon_connects:
        break;
    }
    return fleet_model<admission::ranked_scheduler>{value}.run();
}

} // namespace gypsumstep::flood
