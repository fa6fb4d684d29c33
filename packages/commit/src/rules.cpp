#include "gypsumstep/commit/rules.h"

namespace gypsumstep::commit {

std::size_t standard_rules::acknowledgements(std::size_t servers)
{
    return majority_of(servers);
}

bool standard_rules::proves_not_run(const absence& missing)
{
    return missing.primary_term > missing.sent_term && missing.opening_majority_held;
}

bool standard_rules::may_send_again(const attempt& previous)
{
    return !previous.sent || previous.idempotent;
}

} // namespace gypsumstep::commit
