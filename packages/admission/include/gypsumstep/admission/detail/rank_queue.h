/// \file
/// The queue of one rank, fair between client accounts.
#pragma once

#include "gypsumstep/admission/request.h"
#include "gypsumstep/scheduling/fair_queue.h"

#include <boost/intrusive/set.hpp>

#include <cstdint>

namespace gypsumstep::admission::detail {

struct start_tag;

using start_hook =
    boost::intrusive::set_base_hook<boost::intrusive::tag<start_tag>,
                                    boost::intrusive::link_mode<boost::intrusive::normal_link>>;

/// A request in the queue, waiting or running.
struct entry : scheduling::fair_item, start_hook {
    request item;
    time_point latest_start;         ///< a request that starts later is likely to miss its deadline
    duration charged{0};             ///< estimated service time, charged when the request starts
    std::uint64_t arrival_number{0}; ///< order of arrival over all ranks
    bool running{false};
};

/// Orders entries by their latest start time.
struct by_latest_start {
    bool operator()(const entry& left, const entry& right) const
    {
        return left.latest_start < right.latest_start;
    }
};

/// The requests of one rank in the order of scheduling::fair_queue, with their expiry.
///
/// Does not own the entries.
class rank_queue {
public:
    /// Appends an entry to the requests of its client account.
    void push(entry& added);

    /// Removes an entry that has not started.
    void remove(entry& removed);

    /// Removes and returns the entry to start next, and charges its client account. The queue
    /// must not be empty.
    entry& pop();

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

    /// Arrival number of the entry to start next. The queue must not be empty.
    [[nodiscard]] std::uint64_t head_arrival_number() const;

private:
    using start_order = boost::intrusive::multiset<entry, boost::intrusive::base_hook<start_hook>,
                                                   boost::intrusive::compare<by_latest_start>>;

    scheduling::fair_queue<entry, client_account_id> m_waiting;
    start_order m_by_start;
};

} // namespace gypsumstep::admission::detail
