#include "boot_clock.h"

#include <ctime>

namespace gypsumstep::edge {

time_point boot_now()
{
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point{std::chrono::duration_cast<duration>(std::chrono::seconds{now.tv_sec} +
                                                           std::chrono::nanoseconds{now.tv_nsec})};
}

} // namespace gypsumstep::edge
