/// \file
/// Member functions of fleet_model.
#pragma once

#include "flood/fleet_model.h"

namespace gypsumstep::flood {

namespace detail {

constexpr std::uint32_t homes_per_server = 2;
constexpr std::uint32_t ordinary_callers = 10;
constexpr std::uint32_t flood_callers = 3;
constexpr std::uint32_t highest_attempts = 2;
constexpr double slowdown = 3.0;
constexpr duration burst_length = 100ms; // as long as the pause that follows
constexpr duration routing_jitter = 4ms; // keeps daemons from choosing alike

} // namespace detail

template <admission::scheduling_policy Policy>
fleet_model<Policy>::fleet_model(const scenario& value)
    : m_value{value}, m_random{value.seed}, m_flood_start{value.calm}, m_flood_end{value.calm +
                                                                                   value.flood}
{
    m_entries.resize(static_cast<std::size_t>(value.fleet.domains) *
                     value.fleet.daemons_per_domain);
    create_homes();
}

template <admission::scheduling_policy Policy>
outcome fleet_model<Policy>::run()
{
    start_callers();
    if (m_value.factor > 0) {
        m_events.after(m_value.calm, [this] { start_flood(); });
    }
    if (m_value.faults) {
        schedule_faults();
    }
    const time_point end = m_flood_end + m_value.afterwards;
    m_events.run_until(end);

    const time_point settled = time_point{} + m_value.calm / 4;
    const duration slack = 1s; // requests offered at the very end are still under way
    outcome result;
    result.before = evaluate(settled, m_flood_start - slack);
    result.during = evaluate(m_flood_start, m_flood_end);
    result.during.fleet_capacity -= m_lost_capacity;
    result.during.eligible_capacity -= m_lost_eligible_capacity;
    result.after = evaluate(m_flood_end, end - slack);
    result.p99_after = m_measured.p99_series(m_flood_end, end - slack, p99_span);
    return result;
}

template <admission::scheduling_policy Policy>
span_result fleet_model<Policy>::evaluate(time_point from, time_point until) const
{
    span_result result = m_measured.evaluate(from, until);
    result.fleet_capacity = capacity(false, from, until);
    result.eligible_capacity = capacity(true, from, until);
    return result;
}

template <admission::scheduling_policy Policy>
void fleet_model<Policy>::create_homes()
{
    const auto servers =
        static_cast<std::uint32_t>(m_value.fleet.group_slots.size()) * m_value.fleet.domains;
    const std::uint32_t per_domain = m_value.fleet.daemons_per_domain;
    m_homes_of.resize(servers);
    for (std::uint32_t server = 0; server < servers; ++server) {
        const std::uint32_t slots = slots_of(server);
        m_servers.push_back(std::make_unique<server_model>(m_events, slots));
        if (connects_directly()) {
            const auto daemons = static_cast<std::uint32_t>(m_entries.size());
            for (std::uint32_t daemon = 0; daemon < daemons; ++daemon) {
                add_home(daemon, server, m_value.fleet.connections / daemons);
            }
            continue;
        }
        const std::uint32_t first = domain_of_server(server) * per_domain;
        const std::uint32_t chosen = server / m_value.fleet.domains;
        add_home(first + chosen % per_domain, server, (slots + 1) / detail::homes_per_server);
        add_home(first + (chosen + 1) % per_domain, server, slots / detail::homes_per_server);
    }
}

template <admission::scheduling_policy Policy>
void fleet_model<Policy>::add_home(std::uint32_t daemon, std::uint32_t server, std::uint32_t share)
{
    m_homes_of[server].push_back(m_homes.size());
    home& added = m_homes.emplace_back();
    added.daemon = daemon;
    added.server = server;
    added.share = share;
    added.queue = std::make_unique<server_queue>(settings_of(m_value.fleet), share);
}

template <admission::scheduling_policy Policy>
void fleet_model<Policy>::start_callers()
{
    double slots = 0;
    for (std::uint32_t server = 0; server < m_servers.size(); ++server) {
        slots += slots_of(server);
    }
    for (const rank level : all_ranks) {
        const rank_work& work = m_value.fleet.work[index_of(level)];
        const double interval = static_cast<double>(work.service_time.count()) *
                                detail::ordinary_callers / (slots * work.load);
        for (std::uint32_t i = 0; i < detail::ordinary_callers; ++i) {
            arrive(add_caller(level, false, interval));
        }
    }
}

template <admission::scheduling_policy Policy>
void fleet_model<Policy>::start_flood()
{
    const double rate = m_value.factor * capacity_rate() / detail::flood_callers;
    const double pause_factor = m_value.bursting ? 2.0 : 1.0;
    for (std::uint32_t i = 0; i < detail::flood_callers; ++i) {
        arrive_flood(add_caller(m_value.flooding, true, 1e6 / (rate * pause_factor)),
                     m_flood_start);
    }
}

template <admission::scheduling_policy Policy>
typename fleet_model<Policy>::caller&
fleet_model<Policy>::add_caller(rank level, bool part_of_flood, double interval)
{
    const auto number = static_cast<std::uint32_t>(m_callers.size());
    const duration mean{static_cast<duration::rep>(std::max(interval, 1.0))};
    return m_callers.emplace_back(caller{client_account_id{number}, level, part_of_flood, mean,
                                         random_source{hash_combine(m_value.seed, number)}});
}

template <admission::scheduling_policy Policy>
double fleet_model<Policy>::capacity_rate() const
{
    const rank_work& work = m_value.fleet.work[index_of(m_value.flooding)];
    const double seconds = std::chrono::duration<double>{work.service_time}.count();
    return capacity(true, time_point{}, time_point{1s}) / seconds;
}

template <admission::scheduling_policy Policy>
double fleet_model<Policy>::capacity(bool eligible_only, time_point from, time_point until) const
{
    double slots = 0;
    for (std::uint32_t server = 0; server < m_servers.size(); ++server) {
        slots += !eligible_only || eligible(server) ? slots_of(server) : 0;
    }
    return slots * std::chrono::duration<double>{until - from}.count();
}

template <admission::scheduling_policy Policy>
bool fleet_model<Policy>::eligible(std::uint32_t server) const
{
    return !m_value.fleet.work[index_of(m_value.flooding)].primary_only ||
           primary_of(server / m_value.fleet.domains) == server;
}

template <admission::scheduling_policy Policy>
void fleet_model<Policy>::schedule_faults()
{
    const duration slow_from = m_value.calm + m_value.flood / 8;
    const duration slow_until = m_value.calm + m_value.flood / 2;
    server_model& slowed = *m_servers[1]; // a replica
    m_events.after(slow_from, [&slowed] { slowed.set_slowdown(detail::slowdown); });
    m_events.after(slow_until, [&slowed] { slowed.set_slowdown(1.0); });
    const std::uint32_t victim = m_homes[m_homes_of[primary_of(0)].front()].daemon;
    m_events.after(m_value.calm + m_value.flood / 4, [this, victim] { kill_daemon(victim); });
}

template <admission::scheduling_policy Policy>
void fleet_model<Policy>::kill_daemon(std::uint32_t daemon)
{
    m_dead.insert(daemon);
    for (home& each : m_homes) {
        if (each.daemon != daemon) {
            continue;
        }
        each.alive = false;
        const std::unordered_map<std::uint64_t, job_ptr> lost = std::move(each.jobs);
        for (const auto& [id, work] : lost) {
            // The entry daemon sees the connection close.
            m_events.after(delay(*work, each), [this, job = work] { record(*job, false); });
        }
        if (connects_directly()) {
            continue;
        }
        const double held = each.share * std::chrono::duration<double>{m_value.takeover}.count();
        m_lost_capacity += held;
        m_lost_eligible_capacity += eligible(each.server) ? held : 0.0;
        for (const std::size_t index : m_homes_of[each.server]) {
            home& partner = m_homes[index];
            const duration opened = m_value.takeover + m_value.fleet.connect_time;
            m_events.after(opened, [this, &partner] {
                if (partner.alive) {
                    partner.queue->set_slots(slots_of(partner.server), m_events.now());
                    pump(partner);
                }
            });
        }
    }
}

template <admission::scheduling_policy Policy>
void fleet_model<Policy>::arrive(caller& from)
{
    m_events.after(from.random.exponential(from.interval), [this, &from] {
        create(from);
        arrive(from);
    });
}

template <admission::scheduling_policy Policy>
void fleet_model<Policy>::arrive_flood(caller& from, time_point burst_start)
{
    m_events.after(from.random.exponential(from.interval), [this, &from, burst_start] {
        if (m_events.now() >= m_flood_end) {
            return;
        }
        create(from);
        if (m_value.bursting && m_events.now() - burst_start >= detail::burst_length) {
            m_events.after(detail::burst_length,
                           [this, &from] { arrive_flood(from, m_events.now()); });
            return;
        }
        arrive_flood(from, burst_start);
    });
}

template <admission::scheduling_policy Policy>
void fleet_model<Policy>::create(caller& from)
{
    const rank_work& kind = m_value.fleet.work[index_of(from.level)];
    const auto work = std::make_shared<job>();
    work->result.level = from.level;
    work->result.part_of_flood = from.part_of_flood;
    work->result.offered = m_events.now();
    work->group = static_cast<std::uint32_t>(from.random.below(m_value.fleet.group_slots.size()));
    do {
        work->entry = static_cast<std::uint32_t>(from.random.below(m_entries.size()));
    } while (m_dead.contains(work->entry));
    work->origin = from.id;
    work->deadline = m_events.now() + kind.target;
    work->work = kind.service_time / 2 + from.random.exponential(kind.service_time / 2);
    m_entries[work->entry].retries.fresh_request(from.level);
    send(work);
}

template <admission::scheduling_policy Policy>
std::vector<std::size_t> fleet_model<Policy>::candidates(const job& work) const
{
    const std::uint32_t first = work.group * m_value.fleet.domains;
    const bool primary = m_value.fleet.work[index_of(work.result.level)].primary_only;
    std::vector<std::size_t> found;
    for (std::uint32_t server = first; server < first + m_value.fleet.domains; ++server) {
        if (primary && server != primary_of(work.group)) {
            continue;
        }
        for (const std::size_t index : m_homes_of[server]) {
            const home& each = m_homes[index];
            if (each.alive && (!connects_directly() || each.daemon == work.entry)) {
                found.push_back(index);
            }
        }
    }
    return found;
}

template <admission::scheduling_policy Policy>
typename fleet_model<Policy>::home* fleet_model<Policy>::choose(const job& work,
                                                                bool& refused_early)
{
    admission::entry_gate& gate = m_entries[work.entry].gate;
    std::vector<std::pair<duration, std::size_t>> order;
    for (const std::size_t index : candidates(work)) {
        const home& each = m_homes[index];
        const admission::home_queue key{server_id{each.server}, daemon_id{each.daemon}};
        const auto report = gate.current(key, m_events.now());
        const duration expected =
            report ? expected_response(*report, work.result.level) : duration{0};
        const duration jitter = m_random.between(duration{0}, detail::routing_jitter);
        order.emplace_back(expected + 2 * delay(work, each) + jitter, index);
    }
    std::ranges::sort(order);
    for (const auto& [expected, index] : order) {
        home& each = m_homes[index];
        const admission::home_queue key{server_id{each.server}, daemon_id{each.daemon}};
        const time_point deadline = work.deadline - 2 * delay(work, each);
        if (!Policy::refuses_late ||
            !gate.check(key, work.result.level, deadline, m_events.now())) {
            return &each;
        }
        refused_early = true;
    }
    return nullptr;
}

template <admission::scheduling_policy Policy>
void fleet_model<Policy>::send(const job_ptr& work)
{
    bool refused_early = false;
    home* const chosen = choose(*work, refused_early);
    if (chosen == nullptr) {
        record(*work, false);
        return;
    }
    work->attempts += 1;
    m_events.after(delay(*work, *chosen), [this, chosen, work] { receive(*chosen, work); });
}

template <admission::scheduling_policy Policy>
void fleet_model<Policy>::receive(home& at, const job_ptr& work)
{
    if (!at.alive) {
        m_events.after(delay(*work, at), [this, work] { refuse(work); });
        return;
    }
    const std::uint64_t id = m_next_id++;
    admission::request offered;
    offered.id = request_id{id};
    offered.level = work->result.level;
    offered.client_account = work->origin;
    offered.deadline = work->deadline - delay(*work, at);
    const admission::decision decided = at.queue->offer(offered, m_events.now());
    if (std::holds_alternative<admission::refused>(decided)) {
        const admission::load_report report = at.queue->current_load(m_events.now());
        m_events.after(delay(*work, at), [this, &at, work, report] {
            const admission::home_queue key{server_id{at.server}, daemon_id{at.daemon}};
            m_entries[work->entry].gate.learn(key, report, m_events.now());
            refuse(work);
        });
        return;
    }
    at.jobs[id] = work;
    if (std::holds_alternative<admission::admitted>(decided)) {
        start(at, work, id);
    }
    pump(at);
}

template <admission::scheduling_policy Policy>
void fleet_model<Policy>::pump(home& at)
{
    for (const request_id id : at.queue->start_next(m_events.now())) {
        start(at, at.jobs.at(id.value()), id.value());
    }
    for (const request_id id : at.queue->take_expired(m_events.now())) {
        const auto found = at.jobs.find(id.value());
        const job_ptr work = found->second;
        at.jobs.erase(found);
        m_events.after(delay(*work, at), [this, work] { refuse(work); });
    }
}

template <admission::scheduling_policy Policy>
void fleet_model<Policy>::start(home& at, const job_ptr& work, std::uint64_t id)
{
    work->started = m_events.now();
    const duration one_way = delay(domain_of_daemon(at.daemon), domain_of_server(at.server));
    m_events.after(one_way, [=, this, &at] {
        m_servers[at.server]->run(work->work, [=, this, &at] {
            m_events.after(one_way, [=, this, &at] {
                if (!at.alive) {
                    return; // its entry daemon has been told
                }
                at.jobs.erase(id);
                at.queue->finished(request_id{id}, m_events.now() - work->started, true,
                                   m_events.now());
                answer(at, work, true);
                pump(at);
            });
        });
    });
}

template <admission::scheduling_policy Policy>
void fleet_model<Policy>::answer(home& at, const job_ptr& work, bool ok)
{
    work->result.service_time = m_events.now() - work->started;
    work->result.on_eligible_server = eligible(at.server);
    const admission::load_report report = at.queue->current_load(m_events.now());
    m_events.after(delay(*work, at), [=, this, &at] {
        const admission::home_queue key{server_id{at.server}, daemon_id{at.daemon}};
        m_entries[work->entry].gate.learn(key, report, m_events.now());
        record(*work, ok);
    });
}

template <admission::scheduling_policy Policy>
void fleet_model<Policy>::refuse(const job_ptr& work)
{
    // Refused means not run, so another home may try.
    const bool in_time = m_events.now() < work->deadline;
    if (in_time && work->attempts < detail::highest_attempts &&
        m_entries[work->entry].retries.try_retry(work->result.level)) {
        send(work);
        return;
    }
    record(*work, false);
}

template <admission::scheduling_policy Policy>
void fleet_model<Policy>::record(const job& work, bool answered)
{
    sample result = work.result;
    result.latency = m_events.now() - result.offered;
    result.answered = answered;
    result.good = answered && m_events.now() <= work.deadline;
    m_measured.add(result);
}

} // namespace gypsumstep::flood
