#include "gypsumstep/failover/election.h"

namespace gypsumstep::failover {

template class basic_election<standard_rules>;

} // namespace gypsumstep::failover
