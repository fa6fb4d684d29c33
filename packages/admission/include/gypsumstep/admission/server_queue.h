/// \file
/// The queue in front of one backend server, at one of its homes.
#pragma once

#include "gypsumstep/admission/concurrency_limit.h"
#include "gypsumstep/admission/detail/rank_queue.h"
#include "gypsumstep/admission/load_estimate.h"
#include "gypsumstep/admission/load_report.h"
#include "gypsumstep/admission/ranked_scheduler.h"
#include "gypsumstep/admission/request.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace gypsumstep::admission {

/// Decides which requests run on a server and when.
///
/// Every request that offer() admits or queues ends in exactly one of: finished(),
/// cancel() returning true, take_expired() or drain() naming it. The sum of running
/// requests never exceeds the slots, except until requests that ran when
/// set_slots() lowered them have finished.
///
/// Requests of open transactions hold a connection already: they go before all new
/// work, and are neither limited in number nor refused for a long wait. What they use
/// is accounted to their rank.
///
/// A rank's queue that is at its length limit still takes a caller's request while that
/// caller has less than its even share waiting, up to twice the limit in all; else one
/// caller could keep the others out.
///
/// After each call that may free a slot (finished, cancel, set_slots), the shell
/// calls start_next(); and take_expired() at least as often as refusals should be prompt.
template <scheduling_policy Policy>
class basic_server_queue {
public:
    basic_server_queue(queue_settings settings, std::uint32_t slots);

    basic_server_queue(const basic_server_queue&) = delete;
    basic_server_queue& operator=(const basic_server_queue&) = delete;
    ~basic_server_queue() = default;

    /// Takes a request in, or refuses it. The id must not be in the queue already.
    [[nodiscard]] decision offer(const request& offered, time_point now);

    /// Requests that hold a slot from now on and have to be started, in their order.
    [[nodiscard]] std::vector<request_id> start_next(time_point now);

    /// A started request has left the server.
    /// \param service_time from its start until its answer
    /// \param ok false for a fault of the server; an SQL error of the caller is ok
    /// \return false if the request is not running here
    bool finished(request_id id, duration service_time, bool ok, time_point now);

    /// Withdraws a request that has not started; false if it is not waiting here.
    bool cancel(request_id id, time_point now);

    /// Requests that waited too long to meet their deadline. They did not run.
    [[nodiscard]] std::vector<request_id> take_expired(time_point now);

    /// All waiting requests, taken out. They did not run.
    [[nodiscard]] std::vector<request_id> drain(time_point now);

    /// Sets this home's share of the server's slots; 0 lets nothing start.
    void set_slots(std::uint32_t slots, time_point now);

    /// Replaces floors, limits and patience.
    void set_settings(const queue_settings& settings, time_point now);

    /// With false, refuses new work; open transactions and waiting requests go on.
    void set_accepting(bool accepting) { m_accepting = accepting; }

    /// What entry daemons need to know.
    [[nodiscard]] load_report current_load(time_point now) const;

    /// The time until a request of a new caller, offered now, would start after all
    /// that waits in its rank.
    [[nodiscard]] duration estimated_wait(rank level) const;

    /// The time until a request of one caller would start, callers taking turns.
    [[nodiscard]] duration estimated_wait(rank level, client_account_id caller) const;

    /// The earliest time at which take_expired() may name a request; nothing if none waits.
    [[nodiscard]] std::optional<time_point> next_expiry();

    [[nodiscard]] std::uint32_t running() const;           ///< requests that hold a slot
    [[nodiscard]] std::uint32_t running(rank level) const; ///< of one rank
    [[nodiscard]] std::size_t waiting(rank level) const;   ///< new work that waits
    [[nodiscard]] std::uint32_t slots() const { return m_slots; }
    [[nodiscard]] std::uint32_t limit(time_point now) const; ///< adaptive, within the slots

private:
    using entry = detail::entry;

    [[nodiscard]] backlog current_backlog() const;
    [[nodiscard]] bool any_waiting() const;
    [[nodiscard]] std::optional<refused> reason_to_refuse(const request& offered,
                                                          time_point now) const;
    [[nodiscard]] duration quantum(rank level) const;
    [[nodiscard]] duration wait_behind(rank level, std::size_t ahead) const;
    [[nodiscard]] bool is_full(rank level, client_account_id caller) const;
    [[nodiscard]] client_account_id account_of(const request& offered) const;
    [[nodiscard]] detail::rank_queue& queue_of(const entry& item);
    void advance(time_point now);
    void start(entry& chosen);
    entry& add(const request& offered, time_point now);
    void remove_waiting(entry& removed);
    void move_to_expired(detail::rank_queue& from, time_point now);

    queue_settings m_settings;
    std::uint32_t m_slots;
    bool m_accepting{true};
    Policy m_policy;
    std::unordered_map<request_id, entry> m_entries;
    std::array<detail::rank_queue, rank_count> m_ranks;
    detail::rank_queue m_transactions; // requests of open transactions
    std::vector<request_id> m_expired; // expired, not yet named by take_expired()
    slot_use_estimate::counts m_running{};
    std::array<service_time_estimate, rank_count> m_service;
    slot_use_estimate m_use;
    fault_estimate m_faults;
    concurrency_limit m_limit;
    std::uint64_t m_next_sequence{0};
};

/// The queue as the daemon uses it.
using server_queue = basic_server_queue<ranked_scheduler>;

extern template class basic_server_queue<ranked_scheduler>;

} // namespace gypsumstep::admission

#include "gypsumstep/admission/detail/server_queue_impl.h"
