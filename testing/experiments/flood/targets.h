/// \file
/// Targets that the ranked variant must meet under floods.
#pragma once

#include "flood/scenario.h"

#include <string>
#include <vector>

namespace gypsumstep::flood {

/// Runs a scenario with the same ordinary arrivals and faults but without the flood.
[[nodiscard]] outcome run_unflooded(scenario value);

/// The time from the end of the flood until the p99 of every rank is back to normal and stays
/// normal. A p99 is normal up to the highest one in the same spans of the unflooded run, which
/// has the same faults, plus a tolerance.
[[nodiscard]] duration recovery_time(const outcome& flooded, const outcome& unflooded);

/// Checks a flooded run against the targets, some of which are relative to the unflooded run.
/// \return one line for each target that was missed
[[nodiscard]] std::vector<std::string> missed_targets(const scenario& value, const outcome& flooded,
                                                      const outcome& unflooded);

} // namespace gypsumstep::flood
