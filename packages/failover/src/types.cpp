#include "gypsumstep/failover/types.h"

namespace gypsumstep::failover {

std::string to_string(const claim_id& claim)
{
    return std::to_string(claim.claimant.value()) + "#" + std::to_string(claim.round);
}

std::string to_string(const primary_view& view)
{
    return std::to_string(view.server.value()) + "@" + std::to_string(view.primary_term.value());
}

} // namespace gypsumstep::failover
