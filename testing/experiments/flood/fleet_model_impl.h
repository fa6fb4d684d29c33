/// \file
/// Member functions of fleet_model.
#pragma once

#include "flood/fleet_model.h"

namespace gypsumstep::flood {

namespace detail {

constexpr std::uint32_t homes_per_server = 2;
constexpr std::uint32_t ordinary_accounts = 10;
constexpr std::uint32_t flood_accounts = 3;
constexpr std::uint32_t max_attempts = 2;
constexpr double slowdown = 3.0;         // of the server that is slow for a while
constexpr duration burst_length = 100ms; // also the pause between bursts
constexpr duration routing_jitter = 4ms; // keeps daemons from all choosing the same home

} // namespace detail

template <admission::scheduling_policy Policy>
fleet_model<Policy>::fleet_model(const scenario& parameters)
    : m_scenario{parameters}, m_random{parameters.seed}, m_flood_start{parameters.calm},
      m_flood_end{parameters.calm + parameters.flood}
{
    m_entry_daemons.resize(static_cast<std::size_t>(parameters.fleet.domains) *
                           parameters.fleet.daemons_per_domain);
    create_homes();
}

template <admission::scheduling_policy Policy>
outcome fleet_model<Policy>::run()
{
    start_ordinary_clients();
    if (m_scenario.factor > 0) {
        m_events.after(m_scenario.calm, [this] { start_flood(); });
    }
    if (m_scenario.faults) {
        schedule_faults();
    }
    const time_point end = m_flood_end + m_scenario.afterwards;
    m_events.run_until(end);

    const time_point warmed_up = time_point{} + m_scenario.calm / 4;
    const duration slack = 1s; // requests offered later may not have been answered at the end
    outcome result;
    result.before = evaluate(warmed_up, m_flood_start - slack);
    result.during = evaluate(m_flood_start, m_flood_end);
    result.during.fleet_capacity -= m_lost_capacity;
    result.during.eligible_capacity -= m_lost_eligible_capacity;
    result.after = evaluate(m_flood_end, end - slack);
    result.p99_after = m_measurements.p99_series(m_flood_end, end - slack, p99_span);
    return result;
}

template <admission::scheduling_policy Policy>
span_result fleet_model<Policy>::evaluate(time_point from, time_point until) const
{
    span_result result = m_measurements.evaluate(from, until);
    result.fleet_capacity = capacity(false, from, until);
    result.eligible_capacity = capacity(true, from, until);
    return result;
}

template <admission::scheduling_policy Policy>
void fleet_model<Policy>::create_homes()
{
    const auto servers =
        static_cast<std::uint32_t>(m_scenario.fleet.group_slots.size()) * m_scenario.fleet.domains;
    const std::uint32_t per_domain = m_scenario.fleet.daemons_per_domain;
    m_homes_of.resize(servers);
    for (std::uint32_t server = 0; server < servers; ++server) {
        const std::uint32_t slots = slots_of(server);
        m_servers.push_back(std::make_unique<server_model>(m_events, slots));
        if (connects_directly()) {
            const auto daemons = static_cast<std::uint32_t>(m_entry_daemons.size());
            for (std::uint32_t daemon = 0; daemon < daemons; ++daemon) {
                add_home(daemon, server, m_scenario.fleet.connections / daemons);
            }
            continue;
        }
        const std::uint32_t first = domain_of_server(server) * per_domain;
        const std::uint32_t chosen = server / m_scenario.fleet.domains;
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
    added.queue = std::make_unique<server_queue>(settings_of(m_scenario.fleet), share);
}

template <admission::scheduling_policy Policy>
void fleet_model<Policy>::start_ordinary_clients()
{
    double slots = 0;
    for (std::uint32_t server = 0; server < m_servers.size(); ++server) {
        slots += slots_of(server);
    }
    for (const rank level : all_ranks) {
        const rank_work& work = m_scenario.fleet.work[index_of(level)];
        const double interval = static_cast<double>(work.service_time.count()) *
                                detail::ordinary_accounts / (slots * work.load);
        for (std::uint32_t i = 0; i < detail::ordinary_accounts; ++i) {
            schedule_arrival(add_account(level, false, interval));
        }
    }
}

template <admission::scheduling_policy Policy>
void fleet_model<Policy>::start_flood()
{
    const double rate = m_scenario.factor * capacity_rate() / detail::flood_accounts;
    const double pause_factor = m_scenario.bursting ? 2.0 : 1.0;
    for (std::uint32_t i = 0; i < detail::flood_accounts; ++i) {
        schedule_flood_arrival(add_account(m_scenario.flooding, true, 1e6 / (rate * pause_factor)),
                               m_flood_start);
    }
}

template <admission::scheduling_policy Policy>
typename fleet_model<Policy>::client_account&
fleet_model<Policy>::add_account(rank level, bool part_of_flood, double interval)
{
    const auto number = static_cast<std::uint32_t>(m_accounts.size());
    const duration mean{static_cast<duration::rep>(std::max(interval, 1.0))};
    return m_accounts.emplace_back(
        client_account{client_account_id{number}, level, part_of_flood, mean,
                       random_source{hash_combine(m_scenario.seed, number)}});
}

template <admission::scheduling_policy Policy>
double fleet_model<Policy>::capacity_rate() const
{
    const rank_work& work = m_scenario.fleet.work[index_of(m_scenario.flooding)];
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
    return !m_scenario.fleet.work[index_of(m_scenario.flooding)].primary_only ||
           primary_of(server / m_scenario.fleet.domains) == server;
}

template <admission::scheduling_policy Policy>
void fleet_model<Policy>::schedule_faults()
{
    const duration slow_from = m_scenario.calm + m_scenario.flood / 8;
    const duration slow_until = m_scenario.calm + m_scenario.flood / 2;
    server_model& slow_server = *m_servers[1]; // a replica
    m_events.after(slow_from, [&slow_server] { slow_server.set_slowdown(detail::slowdown); });
    m_events.after(slow_until, [&slow_server] { slow_server.set_slowdown(1.0); });
    const std::uint32_t killed = m_homes[m_homes_of[primary_of(0)].front()].daemon;
    m_events.after(m_scenario.calm + m_scenario.flood / 4, [this, killed] { kill_daemon(killed); });
}

template <admission::scheduling_policy Policy>
void fleet_model<Policy>::kill_daemon(std::uint32_t daemon)
{
    m_killed_daemons.insert(daemon);
    for (home& lost_home : m_homes) {
        if (lost_home.daemon != daemon) {
            continue;
        }
        lost_home.alive = false;
        const std::unordered_map<std::uint64_t, request_ptr> lost = std::move(lost_home.requests);
        for (const auto& [id, request] : lost) {
            // The entry daemon notices that the connection was closed.
            m_events.after(delay(*request, lost_home),
                           [this, lost_request = request] { record(*lost_request, false); });
        }
        if (connects_directly()) {
            continue;
        }
        const double lost_slot_time =
            lost_home.share * std::chrono::duration<double>{m_scenario.takeover}.count();
        m_lost_capacity += lost_slot_time;
        m_lost_eligible_capacity += eligible(lost_home.server) ? lost_slot_time : 0.0;
        for (const std::size_t index : m_homes_of[lost_home.server]) {
            home& partner = m_homes[index];
            const duration ready_after = m_scenario.takeover + m_scenario.fleet.connect_time;
            m_events.after(ready_after, [this, &partner] {
                if (partner.alive) {
                    partner.queue->set_slots(slots_of(partner.server), m_events.now());
                    start_and_expire(partner);
                }
            });
        }
    }
}

template <admission::scheduling_policy Policy>
void fleet_model<Policy>::schedule_arrival(client_account& account)
{
    m_events.after(account.random.exponential(account.interval), [this, &account] {
        create(account);
        schedule_arrival(account);
    });
}

template <admission::scheduling_policy Policy>
void fleet_model<Policy>::schedule_flood_arrival(client_account& account, time_point burst_start)
{
    m_events.after(account.random.exponential(account.interval), [this, &account, burst_start] {
        if (m_events.now() >= m_flood_end) {
            return;
        }
        create(account);
        if (m_scenario.bursting && m_events.now() - burst_start >= detail::burst_length) {
            m_events.after(detail::burst_length,
                           [this, &account] { schedule_flood_arrival(account, m_events.now()); });
            return;
        }
        schedule_flood_arrival(account, burst_start);
    });
}

template <admission::scheduling_policy Policy>
void fleet_model<Policy>::create(client_account& account)
{
    const rank_work& work = m_scenario.fleet.work[index_of(account.level)];
    const auto request = std::make_shared<client_request>();
    request->result.level = account.level;
    request->result.part_of_flood = account.part_of_flood;
    request->result.offered = m_events.now();
    request->group =
        static_cast<std::uint32_t>(account.random.below(m_scenario.fleet.group_slots.size()));
    do {
        request->entry = static_cast<std::uint32_t>(account.random.below(m_entry_daemons.size()));
    } while (m_killed_daemons.contains(request->entry));
    request->account = account.id;
    request->deadline = m_events.now() + work.target;
    request->service_time =
        work.service_time / 2 + account.random.exponential(work.service_time / 2);
    m_entry_daemons[request->entry].retries.fresh_request(account.level);
    send(request);
}

template <admission::scheduling_policy Policy>
std::vector<std::size_t> fleet_model<Policy>::candidates(const client_request& request) const
{
    const std::uint32_t first = request.group * m_scenario.fleet.domains;
    const bool primary = m_scenario.fleet.work[index_of(request.result.level)].primary_only;
    std::vector<std::size_t> found;
    for (std::uint32_t server = first; server < first + m_scenario.fleet.domains; ++server) {
        if (primary && server != primary_of(request.group)) {
            continue;
        }
        for (const std::size_t index : m_homes_of[server]) {
            const home& candidate = m_homes[index];
            if (candidate.alive && (!connects_directly() || candidate.daemon == request.entry)) {
                found.push_back(index);
            }
        }
    }
    return found;
}

template <admission::scheduling_policy Policy>
typename fleet_model<Policy>::home* fleet_model<Policy>::choose(const client_request& request,
                                                                bool& refused_early)
{
    admission::entry_gate& gate = m_entry_daemons[request.entry].gate;
    std::vector<std::pair<duration, std::size_t>> order;
    for (const std::size_t index : candidates(request)) {
        const home& candidate = m_homes[index];
        const admission::home_queue key{server_id{candidate.server}, daemon_id{candidate.daemon}};
        const auto report = gate.current(key, m_events.now());
        const duration expected =
            report ? expected_response(*report, request.result.level) : duration{0};
        const duration jitter = m_random.between(duration{0}, detail::routing_jitter);
        order.emplace_back(expected + 2 * delay(request, candidate) + jitter, index);
    }
    std::ranges::sort(order);
    for (const auto& [expected, index] : order) {
        home& candidate = m_homes[index];
        const admission::home_queue key{server_id{candidate.server}, daemon_id{candidate.daemon}};
        const time_point deadline = request.deadline - 2 * delay(request, candidate);
        if (!Policy::refuses_late ||
            !gate.check(key, request.result.level, deadline, m_events.now())) {
            return &candidate;
        }
        refused_early = true;
    }
    return nullptr;
}

template <admission::scheduling_policy Policy>
void fleet_model<Policy>::send(const request_ptr& request)
{
    bool refused_early = false;
    home* const chosen = choose(*request, refused_early);
    if (chosen == nullptr) {
        record(*request, false);
        return;
    }
    request->attempts += 1;
    m_events.after(delay(*request, *chosen),
                   [this, chosen, request] { receive(*chosen, request); });
}

template <admission::scheduling_policy Policy>
void fleet_model<Policy>::receive(home& destination, const request_ptr& request)
{
    if (!destination.alive) {
        m_events.after(delay(*request, destination), [this, request] { refuse(request); });
        return;
    }
    const std::uint64_t id = m_next_id++;
    admission::request offered;
    offered.id = request_id{id};
    offered.level = request->result.level;
    offered.client_account = request->account;
    offered.deadline = request->deadline - delay(*request, destination);
    const admission::decision decision = destination.queue->offer(offered, m_events.now());
    if (std::holds_alternative<admission::refused>(decision)) {
        const admission::load_report report = destination.queue->current_load(m_events.now());
        m_events.after(delay(*request, destination), [this, &destination, request, report] {
            const admission::home_queue key{server_id{destination.server},
                                            daemon_id{destination.daemon}};
            m_entry_daemons[request->entry].gate.add_report(key, report, m_events.now());
            refuse(request);
        });
        return;
    }
    destination.requests[id] = request;
    if (std::holds_alternative<admission::admitted>(decision)) {
        start(destination, request, id);
    }
    start_and_expire(destination);
}

template <admission::scheduling_policy Policy>
void fleet_model<Policy>::start_and_expire(home& destination)
{
    for (const request_id id : destination.queue->start_next(m_events.now())) {
        start(destination, destination.requests.at(id.value()), id.value());
    }
    for (const request_id id : destination.queue->take_expired(m_events.now())) {
        const auto found = destination.requests.find(id.value());
        const request_ptr request = found->second;
        destination.requests.erase(found);
        m_events.after(delay(*request, destination), [this, request] { refuse(request); });
    }
}

template <admission::scheduling_policy Policy>
void fleet_model<Policy>::start(home& destination, const request_ptr& request, std::uint64_t id)
{
    request->started = m_events.now();
    const duration one_way =
        delay(domain_of_daemon(destination.daemon), domain_of_server(destination.server));
    m_events.after(one_way, [=, this, &destination] {
        m_servers[destination.server]->run(request->service_time, [=, this, &destination] {
            m_events.after(one_way, [=, this, &destination] {
                if (!destination.alive) {
                    return; // the entry daemon has noticed the closed connection
                }
                destination.requests.erase(id);
                destination.queue->finished(request_id{id}, m_events.now() - request->started, true,
                                            m_events.now());
                send_answer(destination, request, true);
                start_and_expire(destination);
            });
        });
    });
}

template <admission::scheduling_policy Policy>
void fleet_model<Policy>::send_answer(home& destination, const request_ptr& request, bool ok)
{
    request->result.service_time = m_events.now() - request->started;
    request->result.on_eligible_server = eligible(destination.server);
    const admission::load_report report = destination.queue->current_load(m_events.now());
    m_events.after(delay(*request, destination), [=, this, &destination] {
        const admission::home_queue key{server_id{destination.server},
                                        daemon_id{destination.daemon}};
        m_entry_daemons[request->entry].gate.add_report(key, report, m_events.now());
        record(*request, ok);
    });
}

template <admission::scheduling_policy Policy>
void fleet_model<Policy>::refuse(const request_ptr& request)
{
    // A refused request did not run, so it is safe to try another home.
    const bool in_time = m_events.now() < request->deadline;
    if (in_time && request->attempts < detail::max_attempts &&
        m_entry_daemons[request->entry].retries.try_retry(request->result.level)) {
        send(request);
        return;
    }
    record(*request, false);
}

template <admission::scheduling_policy Policy>
void fleet_model<Policy>::record(const client_request& request, bool answered)
{
    sample result = request.result;
    result.latency = m_events.now() - result.offered;
    result.answered = answered;
    result.good = answered && m_events.now() <= request.deadline;
    m_measurements.add(result);
}

} // namespace gypsumstep::flood
