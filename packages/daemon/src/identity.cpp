#include "identity.h"

#include <random>

namespace gypsumstep::daemon {

daemon_id new_daemon_id()
{
    constexpr std::uint64_t limit = 1ULL << 53U;
    std::random_device device;
    const std::uint64_t high = device();
    return daemon_id{((high << 32U) | device()) % limit + 1};
}

} // namespace gypsumstep::daemon
