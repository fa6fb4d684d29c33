/// \file
/// Times that the parts of the coordinator share.
#pragma once

#include "gypsumstep/base/time.h"
#include "gypsumstep/promotion/claim.h"

namespace gypsumstep::promotion::detail {

/// Timeout of reading, surveying, claiming or ordering; long enough for a slow store.
inline constexpr duration step_timeout = 1500ms;

/// A claim under which a survey found no target is used for the next one while this much of its
/// lease is left; then other daemons get their turn. Covers a survey, the claim and the order.
inline constexpr store_time min_remaining_lease{1700};

} // namespace gypsumstep::promotion::detail
