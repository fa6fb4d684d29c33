/// \file
/// The rules of a random run: those of production, or mutants that a test breaks on purpose.
#pragma once

#include "gypsumstep/commit/rules.h"
#include "gypsumstep/failover/rules.h"

namespace gypsumstep::consistency {

/// The rules of production.
struct production {
    using commit = commit::standard_rules;
    using failover = failover::standard_rules;

    /// Whether a server whose log is applied up to \p applied may serve a session at \p token.
    static bool may_read(const log_position& applied, const log_position& token)
    {
        return applied >= token;
    }

    /// Whether a read answer that may still be dropped by a failover is held.
    static constexpr bool hold_reads = true;
};

/// Acknowledges what the primary alone holds.
struct acknowledge_without_majority : production {
    struct commit : gypsumstep::commit::standard_rules {
        static std::size_t acknowledgements(std::size_t) { return 1; }
    };
};

/// Chooses the server to promote by index alone.
struct elect_without_terms : production {
    struct failover : gypsumstep::failover::standard_rules {
        static bool less_advanced(const log_position& left, const log_position& right)
        {
            return left.index < right.index;
        }
    };
};

/// Passes on read answers that no majority holds.
struct read_without_majority : production {
    static constexpr bool hold_reads = false;
};

/// Compares a session's token by index alone; the rule above would hide it.
struct read_without_terms : read_without_majority {
    static bool may_read(const log_position& applied, const log_position& token)
    {
        return applied.index >= token.index;
    }
};

/// Sends a write again whose outcome is unknown and that is not idempotent.
struct resend_everything : production {
    struct commit : gypsumstep::commit::standard_rules {
        static bool may_send_again(const gypsumstep::commit::attempt&) { return true; }
    };
};

/// Grants a term to a second claimant.
struct grant_term_twice : production {
    struct failover : gypsumstep::failover::standard_rules {
        static bool may_grant(const gypsumstep::failover::grant_record& record, term asked,
                              const gypsumstep::failover::claim_id&)
        {
            return asked >= record.highest;
        }
    };
};

/// Believes an absent key on a new primary whose opening entry no majority holds.
struct not_run_without_majority : production {
    struct commit : gypsumstep::commit::standard_rules {
        static bool proves_not_run(const gypsumstep::commit::absence& missing)
        {
            return missing.primary_term > missing.sent_term;
        }
    };
};

/// Believes an absent key on the primary that the write was sent to.
struct not_run_in_same_term : production {
    struct commit : gypsumstep::commit::standard_rules {
        static bool proves_not_run(const gypsumstep::commit::absence& missing)
        {
            return missing.opening_majority_held;
        }
    };
};

} // namespace gypsumstep::consistency
