/// \file
/// Member functions of basic_server_queue.
#pragma once

#include "gypsumstep/admission/server_queue.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace gypsumstep::admission {

namespace detail {

/// The time that a request has to have left when it starts: a safe service time, but
/// not more than half of what it was allowed, nor less than the mean.
[[nodiscard]] inline duration headroom(const service_time_estimate& service, duration allowed)
{
    return std::min(service.safe(), std::max(service.mean(), allowed / 2));
}

/// The time that a number of slots takes for an amount of work.
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
    const bool at_once = running() < limit(now) && (transaction || !any_waiting());
    const duration wait =
        at_once ? duration{0} : estimated_wait(offered.level, account_of(offered));
    entry& added = add(offered, now);
    detail::rank_queue& queue = queue_of(added);
    queue.push(added, quantum(offered.level));
    if (!at_once) {
        return queued{wait};
    }
    start(queue.pop(quantum(offered.level)));
    return admitted{};
}

template <scheduling_policy Policy>
std::vector<request_id> basic_server_queue<Policy>::start_next(time_point now)
{
    advance(now);
    move_to_expired(m_transactions, now);
    std::ranges::for_each(m_ranks, [&](detail::rank_queue& each) { move_to_expired(each, now); });
    std::vector<request_id> started;
    const std::uint32_t highest = limit(now);
    while (running() < highest) {
        if (!m_transactions.empty()) {
            entry& chosen = m_transactions.pop(m_settings.initial_service_time);
            start(chosen);
            started.push_back(chosen.item.id);
            continue;
        }
        const std::optional<rank> level = m_policy.choose(current_backlog());
        if (!level) {
            break;
        }
        entry& chosen = m_ranks[index_of(*level)].pop(quantum(*level));
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
    entry& done = found->second;
    const rank level = done.item.level;
    m_policy.charge(level, service_time - done.charged);
    queue_of(done).complete(done, service_time - done.charged);
    m_running[index_of(level)] -= 1;
    m_faults.add(ok, now);
    if (ok) {
        // A fault says nothing about how long the work takes.
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
    std::ranges::for_each(m_ranks, [&](detail::rank_queue& each) { move_to_expired(each, now); });
    return std::exchange(m_expired, {});
}

template <scheduling_policy Policy>
std::vector<request_id> basic_server_queue<Policy>::drain(time_point now)
{
    advance(now);
    move_to_expired(m_transactions, time_point::max());
    for (detail::rank_queue& each : m_ranks) {
        move_to_expired(each, time_point::max());
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
    load_report value;
    for (const rank level : all_ranks) {
        const std::size_t i = index_of(level);
        value.ranks[i] = {estimated_wait(level), m_service[i].mean(),
                          m_ranks[i].size() >= m_settings.ranks[i].queue_limit};
    }
    const std::uint32_t highest = limit(now);
    value.free_slots = highest - std::min(highest, running());
    value.error_share = m_faults.share(now);
    value.accepting = m_accepting;
    return value;
}

template <scheduling_policy Policy>
duration basic_server_queue<Policy>::estimated_wait(rank level) const
{
    return wait_behind(level, m_ranks[index_of(level)].size());
}

template <scheduling_policy Policy>
duration basic_server_queue<Policy>::estimated_wait(rank level, client_account_id caller) const
{
    const detail::rank_queue& queue = m_ranks[index_of(level)];
    const std::size_t turns = (queue.size(caller) + 1) * queue.waiting_accounts_with(caller) - 1;
    return wait_behind(level, std::min(turns, queue.size()));
}

template <scheduling_policy Policy>
bool basic_server_queue<Policy>::is_full(rank level, client_account_id caller) const
{
    const detail::rank_queue& queue = m_ranks[index_of(level)];
    const std::size_t highest = m_settings.ranks[index_of(level)].queue_limit;
    const std::size_t even_share = highest / queue.waiting_accounts_with(caller);
    return queue.size() >= 2 * highest ||
           (queue.size() >= highest && queue.size(caller) >= even_share);
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
    const std::size_t own = index_of(level);
    if (running() < m_slots && !any_waiting()) {
        return duration{0};
    }
    // The slots that more urgent ranks use are not available, nor are the floors of less
    // urgent ranks that wait; but this rank keeps its own floor.
    double available = slots;
    for (std::size_t i = 0; i < rank_count; ++i) {
        if (i < own) {
            available -= m_use.use(all_ranks[i]);
        }
        else if (i > own && !m_ranks[i].empty()) {
            available -= m_settings.ranks[i].slot_floor * slots;
        }
    }
    constexpr double smallest_share = 0.01; // of the slots, for ranks without a floor
    const double floor = std::max(m_settings.ranks[own].slot_floor, smallest_share) * slots;
    const duration work = m_service[own].mean() * static_cast<duration::rep>(ahead);
    return detail::time_for(work, std::max(available, floor)) +
           detail::time_for(m_service[own].mean(), slots);
}

template <scheduling_policy Policy>
std::optional<time_point> basic_server_queue<Policy>::next_expiry()
{
    std::optional<time_point> earliest;
    const auto consider = [&](detail::rank_queue& queue) {
        const entry* pressing = queue.first_to_expire();
        if (pressing != nullptr && (!earliest || pressing->latest_start < *earliest)) {
            earliest = pressing->latest_start;
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
            waiting[i] = {m_ranks[i].size(), m_ranks[i].head_sequence()};
        }
    }
    return waiting;
}

template <scheduling_policy Policy>
bool basic_server_queue<Policy>::any_waiting() const
{
    return !m_transactions.empty() ||
           std::ranges::any_of(m_ranks, [](const auto& each) { return !each.empty(); });
}

template <scheduling_policy Policy>
std::optional<refused> basic_server_queue<Policy>::reason_to_refuse(const request& offered,
                                                                    time_point now) const
{
    const std::size_t own = index_of(offered.level);
    const duration mean = m_service[own].mean();
    if (offered.deadline && *offered.deadline <= now) {
        return refused{refusal_reason::deadline, mean};
    }
    if (offered.kind == request_kind::open_transaction) {
        return std::nullopt;
    }
    if (!m_accepting) {
        return refused{refusal_reason::not_accepting, m_settings.ranks[own].patience};
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
        const duration needed = detail::headroom(m_service[own], *offered.deadline - now);
        const duration late = now + wait + needed - *offered.deadline;
        if (late > duration{0}) {
            return refused{refusal_reason::deadline, std::max(late, mean)};
        }
    }
    return std::nullopt;
}

template <scheduling_policy Policy>
duration basic_server_queue<Policy>::quantum(rank level) const
{
    return m_service[index_of(level)].mean();
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
    const std::size_t own = index_of(offered.level);
    const time_point until = offered.deadline.value_or(now + m_settings.ranks[own].patience);
    entry& added = m_entries[offered.id];
    added.item = offered;
    added.item.client_account = account_of(offered);
    added.offered = now;
    added.latest_start = until;
    if (offered.deadline && Policy::refuses_late) {
        added.latest_start -= detail::headroom(m_service[own], until - now);
    }
    added.charged = m_service[own].mean();
    added.sequence = m_next_sequence++;
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
void basic_server_queue<Policy>::move_to_expired(detail::rank_queue& from, time_point now)
{
    for (entry* first = from.first_to_expire(); first != nullptr && first->latest_start < now;
         first = from.first_to_expire()) {
        m_expired.push_back(first->item.id);
        remove_waiting(*first);
    }
}

} // namespace gypsumstep::admission
