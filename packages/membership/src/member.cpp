#include "gypsumstep/membership/member.h"

#include <tuple>

namespace gypsumstep::membership {

const char* to_string(member_status status)
{
    switch (status) {
    case member_status::alive:
        return "alive";
    case member_status::suspect:
        return "suspect";
    case member_status::dead:
        return "dead";
    case member_status::left:
        return "left";
    }
    return "alive";
}

bool is_present(const member_record& record)
{
    return record.status == member_status::alive || record.status == member_status::suspect;
}

bool supersedes(const member_record& candidate, const member_record& current)
{
    return std::tie(candidate.incarnation, candidate.status, candidate.run) >
           std::tie(current.incarnation, current.status, current.run);
}

} // namespace gypsumstep::membership
