/// \file
/// The waiting requests of one rank, fair between callers.
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

/// A request inside the queue, waiting or running.
struct entry : flow_hook, start_hook {
    request item;
    time_point offered;
    time_point latest_start; ///< later than this, the deadline would likely be missed
    duration charged{0};     ///< estimated service time, accounted for at the start
    std::uint64_t sequence{0};
    bool running{false};
};

/// Orders entries by their latest start.
struct by_latest_start {
    bool operator()(const entry& left, const entry& right) const
    {
        return left.latest_start < right.latest_start;
    }
};

/// Deficit round robin over callers. The cost of a request is only known when it has
/// finished, so a caller is charged an estimate and corrected later; its balance may
/// become negative, and it is served again once rounds have made it positive.
///
/// Does not own the entries.
class rank_queue {
public:
    /// Appends an entry to its caller's requests.
    void push(entry& added, duration quantum);

    /// Takes an entry out that has not started.
    void remove(entry& removed);

    /// Takes out the entry that is to start now. The queue must not be empty.
    entry& pop(duration quantum);

    /// Corrects a caller's balance by what a finished request cost beyond its estimate.
    void complete(const entry& finished, duration excess);

    /// Number of waiting entries.
    [[nodiscard]] std::size_t size() const { return m_by_start.size(); }

    /// True if none waits.
    [[nodiscard]] bool empty() const { return m_by_start.empty(); }

    /// Number of waiting entries of one caller.
    [[nodiscard]] std::size_t size(client_account_id caller) const;

    /// Number of callers that have waiting entries, as if \p caller had one too.
    [[nodiscard]] std::size_t waiting_accounts_with(client_account_id caller) const;

    /// The waiting entry that has to start first; null if none waits.
    [[nodiscard]] entry* first_to_expire();

    /// Sequence number of the entry that came first. The queue must not be empty.
    [[nodiscard]] std::uint64_t head_sequence() const;

private:
    using entry_list = boost::intrusive::list<entry, boost::intrusive::base_hook<flow_hook>>;

    /// The requests of one caller. Kept while it has any, waiting or running.
    struct flow : flow_hook {
        entry_list waiting;
        duration balance{0};
        std::uint32_t running{0};
    };

    using flow_list = boost::intrusive::list<flow, boost::intrusive::base_hook<flow_hook>>;
    using start_order = boost::intrusive::multiset<entry, boost::intrusive::base_hook<start_hook>,
                                                   boost::intrusive::compare<by_latest_start>>;

    void drop_if_idle(client_account_id caller, flow& candidate);

    std::unordered_map<client_account_id, flow> m_flows;
    flow_list m_active; // flows that have waiting entries, in the order of service
    start_order m_by_start;
};

} // namespace gypsumstep::admission::detail
