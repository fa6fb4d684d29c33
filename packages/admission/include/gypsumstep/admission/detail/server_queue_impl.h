/// \file
/// Member functions of basic_server_queue.
#pragma once

#include "gypsumstep/admission/server_queue.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace gypsumstep::admission {

namespace detail {

/// The time that must be left until the deadline when a request starts: an upper estimate of the
/// service time, but at most half of the time allowed, or the mean service time if that is more.
[[nodiscard]] inline duration headroom(const service_time_estimate& service, duration allowed)
{
    return std::min(service.upper_estimate(), std::max(service.mean(), allowed / 2));
}

/// The time that \p slots slots need for an amount of slot time.
[[nodiscard]] inline duration time_for(duration work, double slots)
{
    return duration{static_cast<duration::rep>(static_cast<double>(work.count()) / slots)};
}

} // namespace detail

template <scheduling_policy Policy>
basic_server_queue<Policy>::basic_server_queue(queue_settings settings, std::uint32_t slots)
    : m_settings{settings}, m_slots{slots},
      m_service{service_time_estimate{settings.initial_service_time},
                service_time_estimate{settings.initial_service_time},
                service_time_estimate{settings.initial_service_time}},
      m_limit{slots}
{
}

template <scheduling_policy Policy>
decision basic_server_queue<Policy>::offer(const request& offered, time_point now)
{
    advance(now);
    if (const std::optional<refused> refusal = reason_to_refuse(offered, now)) {
        return *refusal;
    }
    const bool transaction = offered.kind == request_kind::open_transaction;
    const bool starts_now = running() < limit(now) && (transaction || !any_waiting());
    const duration wait =
        starts_now ? duration{0} : estimated_wait(offered.level, account_of(offered));
    entry& added = add(offered, now);
    detail::rank_queue& queue = queue_of(added);
    queue.push(added);
    if (!starts_now) {
        return queued{wait};
    }
    start(queue.pop());
    return admitted{};
}

template <scheduling_policy Policy>
std::vector<request_id> basic_server_queue<Policy>::start_next(time_point now)
{
    advance(now);
    move_to_expired(m_transactions, now);
    std::ranges::for_each(m_ranks, [&](detail::rank_queue& queue) { move_to_expired(queue, now); });
    std::vector<request_id> started;
    const std::uint32_t max_running = limit(now);
    while (running() < max_running) {
        if (!m_transactions.empty()) {
            entry& chosen = m_transactions.pop();
            start(chosen);
            started.push_back(chosen.item.id);
            continue;
        }
        const std::optional<rank> level = m_policy.choose(current_backlog());
        if (!level) {
            break;
        }
        entry& chosen = m_ranks[index_of(*level)].pop();
        start(chosen);
        started.push_back(chosen.item.id);
    }
    return started;
}

template <scheduling_policy Policy>
bool basic_server_queue<Policy>::finished(request_id id, duration service_time, bool ok,
                                          time_point now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || !found->second.running) {
        return false;
    }
    advance(now);
    entry& request_entry = found->second;
    const rank level = request_entry.item.level;
    m_policy.charge(level, service_time - request_entry.charged);
    queue_of(request_entry).complete(request_entry, service_time - request_entry.charged);
    m_running[index_of(level)] -= 1;
    m_faults.add(ok, now);
    if (ok) {
        // The duration of a failed request says nothing about the usual service time.
        m_service[index_of(level)].add(service_time);
        m_limit.completed(m_service[index_of(level)].slowness(service_time), any_waiting(), now);
    }
    m_entries.erase(found);
    return true;
}

template <scheduling_policy Policy>
bool basic_server_queue<Policy>::cancel(request_id id, time_point now)
{
    advance(now);
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.running) {
        return false;
    }
    remove_waiting(found->second);
    return true;
}

template <scheduling_policy Policy>
std::vector<request_id> basic_server_queue<Policy>::take_expired(time_point now)
{
    advance(now);
    move_to_expired(m_transactions, now);
    std::ranges::for_each(m_ranks, [&](detail::rank_queue& queue) { move_to_expired(queue, now); });
    return std::exchange(m_expired, {});
}

template <scheduling_policy Policy>
std::vector<request_id> basic_server_queue<Policy>::drain(time_point now)
{
    advance(now);
    move_to_expired(m_transactions, time_point::max());
    for (detail::rank_queue& queue : m_ranks) {
        move_to_expired(queue, time_point::max());
    }
    return std::exchange(m_expired, {});
}

template <scheduling_policy Policy>
void basic_server_queue<Policy>::set_slots(std::uint32_t slots, time_point now)
{
    advance(now);
    m_slots = slots;
    m_limit.set_slots(slots);
}

template <scheduling_policy Policy>
void basic_server_queue<Policy>::set_settings(const queue_settings& settings, time_point now)
{
    advance(now);
    m_settings = settings;
}

template <scheduling_policy Policy>
load_report basic_server_queue<Policy>::current_load(time_point now) const
{
    load_report report;
    for (const rank level : all_ranks) {
        const std::size_t i = index_of(level);
        report.ranks[i] = {estimated_wait(level), m_service[i].mean(),
                           m_ranks[i].size() >= m_settings.ranks[i].queue_limit};
    }
    const std::uint32_t max_running = limit(now);
    report.free_slots = max_running - std::min(max_running, running());
    report.error_share = m_faults.share(now);
    report.accepting = m_accepting;
    return report;
}

template <scheduling_policy Policy>
duration basic_server_queue<Policy>::estimated_wait(rank level) const
{
    return wait_behind(level, m_ranks[index_of(level)].size());
}

template <scheduling_policy Policy>
duration basic_server_queue<Policy>::estimated_wait(rank level, client_account_id account) const
{
    const detail::rank_queue& queue = m_ranks[index_of(level)];
    const std::size_t requests_ahead =
        (queue.size(account) + 1) * queue.waiting_accounts_with(account) - 1;
    return wait_behind(level, std::min(requests_ahead, queue.size()));
}

template <scheduling_policy Policy>
bool basic_server_queue<Policy>::is_full(rank level, client_account_id account) const
{
    const detail::rank_queue& queue = m_ranks[index_of(level)];
    const std::size_t queue_limit = m_settings.ranks[index_of(level)].queue_limit;
    const std::size_t even_share = queue_limit / queue.waiting_accounts_with(account);
    return queue.size() >= 2 * queue_limit ||
           (queue.size() >= queue_limit && queue.size(account) >= even_share);
}

template <scheduling_policy Policy>
client_account_id basic_server_queue<Policy>::account_of(const request& offered) const
{
    return Policy::fair_between_accounts ? offered.client_account : client_account_id{0};
}

template <scheduling_policy Policy>
duration basic_server_queue<Policy>::wait_behind(rank level, std::size_t ahead) const
{
    const double slots = std::max(m_slots, 1U);
    const std::size_t rank_index = index_of(level);
    if (running() < m_slots && !any_waiting()) {
        return duration{0};
    }
    // Slots that more urgent ranks use are not available, nor are the slot floors of less urgent
    // ranks with waiting requests. At least this rank's own floor is available.
    double available = slots;
    for (std::size_t i = 0; i < rank_count; ++i) {
        if (i < rank_index) {
            available -= m_use.use(all_ranks[i]);
        }
        else if (i > rank_index && !m_ranks[i].empty()) {
            available -= m_settings.ranks[i].slot_floor * slots;
        }
    }
    constexpr double min_share = 0.01; // of the slots, assumed for ranks without a floor
    const double floor = std::max(m_settings.ranks[rank_index].slot_floor, min_share) * slots;
    const duration work = m_service[rank_index].mean() * static_cast<duration::rep>(ahead);
    return detail::time_for(work, std::max(available, floor)) +
           detail::time_for(m_service[rank_index].mean(), slots);
}

template <scheduling_policy Policy>
std::optional<time_point> basic_server_queue<Policy>::next_expiry()
{
    std::optional<time_point> earliest;
    const auto consider = [&](detail::rank_queue& queue) {
        const entry* first = queue.first_to_expire();
        if (first != nullptr && (!earliest || first->latest_start < *earliest)) {
            earliest = first->latest_start;
        }
    };
    consider(m_transactions);
    std::ranges::for_each(m_ranks, consider);
    return earliest;
}

template <scheduling_policy Policy>
std::uint32_t basic_server_queue<Policy>::running() const
{
    return std::accumulate(m_running.begin(), m_running.end(), 0U);
}

template <scheduling_policy Policy>
std::uint32_t basic_server_queue<Policy>::running(rank level) const
{
    return m_running[index_of(level)];
}

template <scheduling_policy Policy>
std::size_t basic_server_queue<Policy>::waiting(rank level) const
{
    return m_ranks[index_of(level)].size();
}

template <scheduling_policy Policy>
std::uint32_t basic_server_queue<Policy>::limit(time_point now) const
{
    return std::min(m_limit.limit(m_faults.share(now)), m_slots);
}

template <scheduling_policy Policy>
backlog basic_server_queue<Policy>::current_backlog() const
{
    backlog waiting;
    for (std::size_t i = 0; i < rank_count; ++i) {
        if (!m_ranks[i].empty()) {
            waiting[i] = {m_ranks[i].size(), m_ranks[i].head_arrival_number()};
        }
    }
    return waiting;
}

template <scheduling_policy Policy>
bool basic_server_queue<Policy>::any_waiting() const
{
    return !m_transactions.empty() ||
           std::ranges::any_of(m_ranks, [](const auto& queue) { return !queue.empty(); });
}

template <scheduling_policy Policy>
std::optional<refused> basic_server_queue<Policy>::reason_to_refuse(const request& offered,
                                                                    time_point now) const
{
    const std::size_t rank_index = index_of(offered.level);
    const duration mean = m_service[rank_index].mean();
    if (offered.deadline && *offered.deadline <= now) {
        return refused{refusal_reason::deadline, mean};
    }
    if (offered.kind == request_kind::open_transaction) {
        return std::nullopt;
    }
    if (!m_accepting) {
        return refused{refusal_reason::not_accepting, m_settings.ranks[rank_index].default_timeout};
    }
    const bool starts_now = running() < limit(now) && !any_waiting();
    if (starts_now) {
        return std::nullopt;
    }
    const duration wait = estimated_wait(offered.level, account_of(offered));
    if (is_full(offered.level, account_of(offered))) {
        return refused{refusal_reason::queue_full, wait};
    }
    if (Policy::refuses_late && offered.deadline && m_slots > 0) {
        const duration needed = detail::headroom(m_service[rank_index], *offered.deadline - now);
        const duration excess = now + wait + needed - *offered.deadline;
        if (excess > duration{0}) {
            return refused{refusal_reason::deadline, std::max(excess, mean)};
        }
    }
    return std::nullopt;
}

template <scheduling_policy Policy>
detail::rank_queue& basic_server_queue<Policy>::queue_of(const entry& item)
{
    return item.item.kind == request_kind::open_transaction ? m_transactions
                                                            : m_ranks[index_of(item.item.level)];
}

template <scheduling_policy Policy>
void basic_server_queue<Policy>::advance(time_point now)
{
    m_policy.advance(current_backlog(), m_settings, limit(now), now);
    m_use.advance(m_running, now);
}

template <scheduling_policy Policy>
void basic_server_queue<Policy>::start(entry& chosen)
{
    const rank level = chosen.item.level;
    chosen.running = true;
    m_running[index_of(level)] += 1;
    m_policy.charge(level, chosen.charged);
}

template <scheduling_policy Policy>
detail::entry& basic_server_queue<Policy>::add(const request& offered, time_point now)
{
    const std::size_t rank_index = index_of(offered.level);
    const time_point deadline =
        offered.deadline.value_or(now + m_settings.ranks[rank_index].default_timeout);
    entry& added = m_entries[offered.id];
    added.item = offered;
    added.item.client_account = account_of(offered);
    added.arrived = now;
    added.latest_start = deadline;
    if (offered.deadline && Policy::refuses_late) {
        added.latest_start -= detail::headroom(m_service[rank_index], deadline - now);
    }
    added.charged = m_service[rank_index].mean();
    added.arrival_number = m_next_sequence++;
    return added;
}

template <scheduling_policy Policy>
void basic_server_queue<Policy>::remove_waiting(entry& removed)
{
    const request_id id = removed.item.id;
    queue_of(removed).remove(removed);
    m_entries.erase(id);
}

template <scheduling_policy Policy>
void basic_server_queue<Policy>::move_to_expired(detail::rank_queue& queue, time_point now)
{
    for (entry* first = queue.first_to_expire(); first != nullptr && first->latest_start < now;
         first = queue.first_to_expire()) {
        m_expired.push_back(first->item.id);
        remove_waiting(*first);
    }
}

} // namespace gypsumstep::admission
