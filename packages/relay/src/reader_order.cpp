#include "gypsumstep/relay/reader_order.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace gypsumstep::relay {

std::vector<homes::daemon_entry> readers_of(std::string_view domain,
                                            const std::vector<homes::daemon_entry>& daemons)
{
    std::vector<homes::daemon_entry> members;
    std::copy_if(daemons.begin(), daemons.end(), std::back_inserter(members),
                 [domain](const homes::daemon_entry& daemon) { return daemon.domain == domain; });
    if (members.size() < min_daemons) {
        return {};
    }
    std::sort(members.begin(), members.end(),
              [](const homes::daemon_entry& left, const homes::daemon_entry& right) {
                  return std::tie(right.capacity, left.name) < std::tie(left.capacity, right.name);
              });
    members.resize(std::min(members.size(), max_readers));
    return members;
}

} // namespace gypsumstep::relay
