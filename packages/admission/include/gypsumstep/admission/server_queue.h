/// \file
/// The queue of requests for one backend server at one of its homes.
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

/// Decides which requests run on a server, and when.
///
/// Every request that offer() admits or queues leaves the queue in exactly one way: finished() or
/// cancel() returns true for it, or take_expired() or drain() returns it. The number of running
/// requests never exceeds the slots, except after set_slots() has lowered them, until enough
/// running requests have finished.
///
/// Requests of open transactions already hold a connection: they start before all new work, and
/// are neither limited in number nor refused for a long estimated wait. The slot time that they
/// use is charged to their rank.
///
/// A rank's queue that is at its length limit still accepts a request of a client account that has
/// less than its even share of the limit waiting, up to twice the limit in all; otherwise one
/// account could keep the others out.
///
/// The owner must call start_next() after each call that may free a slot (finished(), cancel(),
/// set_slots()). It must also call take_expired() regularly: the interval between calls is the
/// delay with which expired requests are refused.
template <scheduling_policy Policy>
class basic_server_queue {
public:
    basic_server_queue(queue_settings settings, std::uint32_t slots);

    basic_server_queue(const basic_server_queue&) = delete;
    basic_server_queue& operator=(const basic_server_queue&) = delete;
    ~basic_server_queue() = default;

    /// Admits, queues or refuses a request. No request with the same id may be in the queue.
    [[nodiscard]] decision offer(const request& offered, time_point now);

    /// Assigns free slots to waiting requests and returns these in order. The owner must start
    /// them.
    [[nodiscard]] std::vector<request_id> start_next(time_point now);

    /// Reports that a started request has finished on the server.
    /// \param service_time time from its start until its answer
    /// \param ok false after a fault of the server; true also after an SQL error of the client
    /// \return false if no request with this id is running
    bool finished(request_id id, duration service_time, bool ok, time_point now);

    /// Removes a waiting request; returns false if no request with this id is waiting.
    bool cancel(request_id id, time_point now);

    /// Removes and returns the requests that waited too long to meet their deadline. They did not
    /// run.
    [[nodiscard]] std::vector<request_id> take_expired(time_point now);

    /// Removes and returns all waiting requests. They did not run.
    [[nodiscard]] std::vector<request_id> drain(time_point now);

    /// Sets this home's share of the server's slots; with 0 no request starts.
    void set_slots(std::uint32_t slots, time_point now);

    /// Replaces the slot floors, queue limits and default timeouts.
    void set_settings(const queue_settings& settings, time_point now);

    /// Sets whether new work is accepted. Open transactions and requests that already wait are
    /// served in any case.
    void set_accepting(bool accepting) { m_accepting = accepting; }

    /// The load report for entry daemons.
    [[nodiscard]] load_report current_load(time_point now) const;

    /// Estimated time until a request offered now would start if all waiting requests of its rank
    /// started before it.
    [[nodiscard]] duration estimated_wait(rank level) const;

    /// Estimated time until a request of \p account offered now would start, with round robin
    /// between client accounts.
    [[nodiscard]] duration estimated_wait(rank level, client_account_id account) const;

    /// The earliest time at which take_expired() may return a request; nullopt if none waits.
    [[nodiscard]] std::optional<time_point> next_expiry();

    [[nodiscard]] std::uint32_t running() const;           ///< number of running requests
    [[nodiscard]] std::uint32_t running(rank level) const; ///< running requests of a rank
    [[nodiscard]] std::size_t waiting(rank level) const;   ///< waiting new work of a rank
    [[nodiscard]] std::uint32_t slots() const { return m_slots; }
    [[nodiscard]] std::uint32_t limit(time_point now) const; ///< concurrency limit, at most slots()

private:
    using entry = detail::entry;

    [[nodiscard]] backlog current_backlog() const;
    [[nodiscard]] bool any_waiting() const;
    [[nodiscard]] std::optional<refused> reason_to_refuse(const request& offered,
                                                          time_point now) const;
    [[nodiscard]] duration wait_behind(rank level, std::size_t ahead) const;
    [[nodiscard]] bool is_full(rank level, client_account_id account) const;
    [[nodiscard]] client_account_id account_of(const request& offered) const;
    [[nodiscard]] detail::rank_queue& queue_of(const entry& item);
    void advance(time_point now);
    void start(entry& chosen);
    entry& add(const request& offered, time_point now);
    void remove_waiting(entry& removed);
    void move_to_expired(detail::rank_queue& queue, time_point now);

    queue_settings m_settings;
    std::uint32_t m_slots;
    bool m_accepting{true};
    Policy m_policy;
    std::unordered_map<request_id, entry> m_entries;
    std::array<detail::rank_queue, rank_count> m_ranks;
    detail::rank_queue m_transactions; // requests of open transactions
    std::vector<request_id> m_expired; // removed, not yet returned by take_expired()
    slot_use_estimate::counts m_running{};
    std::array<service_time_estimate, rank_count> m_service;
    slot_use_estimate m_use;
    fault_estimate m_faults;
    concurrency_limit m_limit;
    std::uint64_t m_next_sequence{0};
};

/// The queue with the scheduling policy that the daemon uses.
using server_queue = basic_server_queue<ranked_scheduler>;

extern template class basic_server_queue<ranked_scheduler>;

} // namespace gypsumstep::admission

#include "gypsumstep/admission/detail/server_queue_impl.h"
