#include "gypsumstep/failover/grant_register.h"

namespace gypsumstep::failover {

bool standard_rules::may_grant(const grant_record& record, term requested_term,
                               const claim_id& claim)
{
    return requested_term > record.highest ||
           (requested_term == record.highest && record.holder == claim);
}

bool standard_rules::less_advanced(const log_position& left, const log_position& right)
{
    return left < right;
}

template class basic_grant_register<standard_rules>;

} // namespace gypsumstep::failover
