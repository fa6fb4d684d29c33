#include "gypsumstep/relay/reader_order.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace gypsumstep::relay {

namespace {

/// Returns the daemons of a failure domain, those with more capacity first.
std::vector<homes::daemon_entry> members_of(std::string_view domain,
                                            const std::vector<homes::daemon_entry>& daemons)
{
    std::vector<homes::daemon_entry> members;
    std::copy_if(daemons.begin(), daemons.end(), std::back_inserter(members),
                 [domain](const homes::daemon_entry& daemon) { return daemon.domain == domain; });
    std::sort(members.begin(), members.end(),
              [](const homes::daemon_entry& left, const homes::daemon_entry& right) {
                  return std::tie(right.capacity, left.name) < std::tie(left.capacity, right.name);
              });
    return members;
}

/// Returns how many readers the daemons of a domain are spread over.
std::size_t shares_of(std::size_t daemons)
{
    return std::max<std::size_t>((daemons + daemons_per_reader - 1) / daemons_per_reader, 1);
}

} // namespace

std::size_t first_readers_of(std::size_t daemons)
{
    return std::max(first_readers, shares_of(daemons));
}

reader_places places_for(std::string_view self, std::string_view domain,
                         const std::vector<homes::daemon_entry>& daemons)
{
    const auto members = members_of(domain, daemons);
    const auto found =
        std::find_if(members.begin(), members.end(),
                     [self](const homes::daemon_entry& member) { return member.name == self; });
    const auto place = static_cast<std::size_t>(found - members.begin());
    return {first_readers_of(members.size()), place % shares_of(members.size())};
}

std::vector<homes::daemon_entry> readers_of(std::string_view domain,
                                            const std::vector<homes::daemon_entry>& daemons)
{
    std::vector<homes::daemon_entry> members = members_of(domain, daemons);
    if (members.size() < min_daemons) {
        return {};
    }
    members.resize(std::min(members.size(), first_readers_of(members.size()) + spare_readers));
    return members;
}

} // namespace gypsumstep::relay
