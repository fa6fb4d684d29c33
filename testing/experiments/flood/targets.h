/// \file
/// What the product has to keep under floods.
#pragma once

#include "flood/scenario.h"

#include <string>
#include <vector>

namespace gypsumstep::flood {

/// Runs a scenario's arrivals and faults without the flood.
[[nodiscard]] outcome run_unflooded(scenario value);

/// The time from the flood's end until each rank's p99 is normal and stays so. Normal is
/// the range of the spans after the same faults without a flood, with some tolerance.
[[nodiscard]] duration recovery_time(const outcome& flooded, const outcome& unflooded);

/// Compares a flooded run with the unflooded one.
/// \return one line for each target that was missed
[[nodiscard]] std::vector<std::string> missed_targets(const scenario& value, const outcome& flooded,
                                                      const outcome& unflooded);

} // namespace gypsumstep::flood
