/// \file
/// The grant register of one backend server.
#pragma once

#include "gypsumstep/failover/rules.h"

namespace gypsumstep::failover {

/// Answer of a register to an order to take office.
enum class promotion_answer {
    promoted, ///< the server is the primary of that term now, or was made so before
    behind,   ///< it lacks entries; the order may be repeated
    refused,  ///< the term is taken or lower than one granted
};

/// Grants each term once to one claim and refuses everything of lower terms.
///
/// Its record must be durable before any answer leaves the server.
template <failover_rules Rules = standard_rules>
class basic_grant_register {
public:
    basic_grant_register() = default;

    /// Takes up where a restarted server left off.
    explicit basic_grant_register(const grant_record& record) : m_record{record} {}

    /// What has to be stored.
    [[nodiscard]] const grant_record& record() const { return m_record; }

    /// Highest term granted or followed.
    [[nodiscard]] term highest() const { return m_record.highest; }

    /// Grants \p requested_term to \p claim if the rules allow it; repeating a granted request is
    /// allowed.
    bool grant(term requested_term, const claim_id& claim)
    {
        if (!Rules::may_grant(m_record, requested_term, claim)) {
            return false;
        }
        m_record = {requested_term, claim};
        return true;
    }

    /// Answers the order to become the primary of \p requested_term.
    ///
    /// \param last the last entry of the server's log
    /// \param min_position the position that its log must reach
    promotion_answer promote(term requested_term, const claim_id& claim, const log_position& last,
                             const log_position& min_position)
    {
        if (!Rules::may_grant(m_record, requested_term, claim)) {
            return promotion_answer::refused;
        }
        if (last < min_position) {
            return promotion_answer::behind;
        }
        m_record = {requested_term, claim};
        return promotion_answer::promoted;
    }

    /// Whether an entry or heartbeat from the primary of \p primary_term is taken.
    bool accept_entry(term primary_term)
    {
        if (primary_term < m_record.highest) {
            return false;
        }
        if (primary_term > m_record.highest) {
            m_record = {primary_term, std::nullopt};
        }
        return true;
    }

private:
    grant_record m_record;
};

/// The register of production.
using grant_register = basic_grant_register<>;

} // namespace gypsumstep::failover
