/// \file
/// Faults of a random run.
#pragma once

#include "gypsumstep/base/random.h"

#include <string>
#include <vector>

namespace gypsumstep::consistency {

/// What goes wrong.
enum class fault_kind {
    kill_server,
    freeze_server,
    kill_daemon,
    freeze_daemon,
    cut_domain,  ///< in both directions, from the platform as well
    cut_one_way, ///< from the subject's domain to the other's
    platform_down,
    platform_slow,
    lossy_network,
    operator_order,    ///< to the subject's daemon: hand over to the other server
    mute_primary,      ///< what the primary sends reaches only its own domain's daemons
    kill_successor,    ///< the next primary dies after the length; then everything is healed
    isolate_successor, ///< the same, and until then it reaches no other server
};

/// How many kinds there are.
inline constexpr std::uint64_t fault_kinds = 13;

/// One fault. Subject and other are reduced modulo the number of processes.
struct fault {
    fault_kind kind{fault_kind::kill_server};
    time_point at;
    duration length{0};
    std::uint32_t subject{0};
    std::uint32_t other{0};

    friend auto operator<=>(const fault&, const fault&) = default;
};

/// "KIND SUBJECT OTHER for N ms".
[[nodiscard]] std::string to_string(const fault& value);

/// Whether a seed's faults come in pairs: a second failure while the first is being mended.
[[nodiscard]] constexpr bool has_double_failures(std::uint64_t seed)
{
    return seed % 2 == 1;
}

/// The faults of one seed, spread over \p span.
[[nodiscard]] std::vector<fault> random_faults(std::uint64_t seed, duration span);

} // namespace gypsumstep::consistency
