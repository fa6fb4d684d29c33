/// \file
/// The queue of one rank, fair between client accounts.
#pragma once

#include "gypsumstep/admission/request.h"

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>

#include <cstdint>
#include <unordered_map>

namespace gypsumstep::admission::detail {

struct flow_tag;
struct start_tag;

using flow_hook =
    boost::intrusive::list_base_hook<boost::intrusive::tag<flow_tag>,
                                     boost::intrusive::link_mode<boost::intrusive::normal_link>>;
using start_hook =
    boost::intrusive::set_base_hook<boost::intrusive::tag<start_tag>,
                                    boost::intrusive::link_mode<boost::intrusive::normal_link>>;

/// A request in the queue, waiting or running.
struct entry : flow_hook, start_hook {
    request item;
    time_point offered;
    time_point latest_start; ///< a request that starts later is likely to miss its deadline
    duration charged{0};     ///< estimated service time, charged when the request starts
    std::uint64_t sequence{0};
    bool running{false};
};

/// Orders entries by their latest start time.
struct by_latest_start {
    bool operator()(const entry& left, const entry& right) const
    {
        return left.latest_start < right.latest_start;
    }
};

/// Deficit round robin over client accounts. The cost of a request is only known when it has
/// finished, so an account is charged an estimate at the start, which is corrected afterwards.
/// Its balance may become negative; the account is then skipped until enough rounds have
/// brought the balance above zero.
///
/// Does not own the entries.
class rank_queue {
public:
    /// Appends an entry to the requests of its client account.
    void push(entry& added, duration quantum);

    /// Removes an entry that has not started.
    void remove(entry& removed);

    /// Removes and returns the entry to start next, and charges its client account. The queue
    /// must not be empty.
    entry& pop(duration quantum);

    /// Reports that a started request has finished.
    /// \param excess service time beyond the charged estimate, charged to the client account now;
    ///     may be negative
    void complete(const entry& finished, duration excess);

    /// Number of waiting entries.
    [[nodiscard]] std::size_t size() const { return m_by_start.size(); }

    /// True if no entry waits.
    [[nodiscard]] bool empty() const { return m_by_start.empty(); }

    /// Number of waiting entries of one client account.
    [[nodiscard]] std::size_t size(client_account_id account) const;

    /// Number of client accounts with waiting entries, counting \p account in any case.
    [[nodiscard]] std::size_t waiting_accounts_with(client_account_id account) const;

    /// The waiting entry with the earliest latest_start; null if no entry waits.
    [[nodiscard]] entry* first_to_expire();

    /// Sequence number of the entry that the round robin serves next, unless its account's balance
    /// is used up. The queue must not be empty.
    [[nodiscard]] std::uint64_t head_sequence() const;

private:
    using entry_list = boost::intrusive::list<entry, boost::intrusive::base_hook<flow_hook>>;

    /// State of one client account. Kept while the account has waiting or running requests.
    struct flow : flow_hook {
        entry_list waiting;
        duration balance{0}; ///< slot time that the account may still use
        std::uint32_t running{0};
    };

    using flow_list = boost::intrusive::list<flow, boost::intrusive::base_hook<flow_hook>>;
    using start_order = boost::intrusive::multiset<entry, boost::intrusive::base_hook<start_hook>,
                                                   boost::intrusive::compare<by_latest_start>>;

    void drop_if_idle(client_account_id account, flow& account_flow);

    std::unordered_map<client_account_id, flow> m_flows;
    flow_list m_active; // flows with waiting entries, in round-robin order
    start_order m_by_start;
};

} // namespace gypsumstep::admission::detail
