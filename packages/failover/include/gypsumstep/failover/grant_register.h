/// \file
/// The grant register of one backend server.
#pragma once

#include "gypsumstep/failover/rules.h"

namespace gypsumstep::failover {

/// A register's answer to the order to become primary.
enum class promotion_answer {
    promoted, ///< the server is the primary of that term, now or since an earlier order
    behind,   ///< the server's log lacks entries; the order may be repeated
    refused,  ///< the term is granted to another claim or lower than a granted term
};

/// Grants each term to at most one claim and refuses requests and entries of lower terms.
///
/// The record must be stored durably before any answer leaves the server.
template <failover_rules Rules = standard_rules>
class basic_grant_register {
public:
    basic_grant_register() = default;

    /// Restores the register of a restarted server from its stored record.
    explicit basic_grant_register(const grant_record& record) : m_record{record} {}

    /// The record to store.
    [[nodiscard]] const grant_record& record() const { return m_record; }

    /// The highest term that the server granted or followed.
    [[nodiscard]] term highest() const { return m_record.highest; }

    /// Grants \p requested_term to \p claim if the rules allow it. Repeating a granted request
    /// succeeds again.
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

    /// Whether the server accepts an entry or heartbeat from the primary of \p primary_term. An
    /// accepted higher term becomes the highest one.
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

/// The register with the rules used in production.
using grant_register = basic_grant_register<>;

} // namespace gypsumstep::failover
