#include "gypsumstep/failover/detail/group_watcher_impl.h"

namespace gypsumstep::failover {

template class basic_group_watcher<standard_rules>;

} // namespace gypsumstep::failover
