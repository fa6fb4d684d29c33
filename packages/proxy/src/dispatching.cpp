// Which server runs a statement, and when.
#include "gypsumstep/proxy/proxy.h"

#include <algorithm>

namespace gypsumstep::proxy {
namespace {

/// Proofs of the primary that may run side by side; each serves all reads that waited
/// when it was sent.
constexpr std::uint32_t max_proofs = 3;

/// Connections to one server that are opened at the same time; each costs the server a
/// slot while it starts.
constexpr std::uint32_t max_opening = 2;

} // namespace

void proxy::enqueue(group& of, const task_ptr& work)
{
    work->queued = true;
    of.queue.push(*work);
}

void proxy::requeue(const task_ptr& work, duration pause, time_point now)
{
    if (work->kind == detail::task_kind::statement && find_session(work->session) == nullptr) {
        return;
    }
    work->sent = false;
    work->link = {};
    work->not_before = now + pause;
    ++work->attempts;
    if (work->kind == detail::task_kind::proof) {
        finish_proof(group_of(work->route.service));
        return;
    }
    enqueue(group_of(work->route.service), work);
}

void proxy::dispatch(group& of, time_point now)
{
    // Starting a statement may end others, which changes the queue; the visitor only
    // removes the item that it is given.
    of.queue.visit([&](dispatch::queued_statement& item) {
        const task_ptr work{static_cast<task*>(&item)};
        if (now < work->not_before) {
            return true;
        }
        try_start(of, work, now);
        return true;
    });
}

bool proxy::try_start(group& of, const task_ptr& work, time_point now)
{
    return work->needs_primary ? try_start_on_primary(of, work, now)
                               : try_start_read(of, work, now);
}

bool proxy::usable(const server& of, time_point now) const
{
    return m_directory.find(of.id) != nullptr && now >= of.avoid_until;
}

std::uint32_t proxy::statement_limit(const server& of) const
{
    const directory::server_record* const record = m_directory.find(of.id);
    const std::uint32_t homes = share_of(of.service).homes;
    if (record == nullptr || homes == 0) {
        return m_options.statements_per_server;
    }
    return dispatch::fair_statement_limit(record->entry.slots, homes,
                                          m_options.statements_per_server);
}

std::uint32_t proxy::limit_of(const task& work, const server& at) const
{
    return statement_limit(at) + (work.priority == 0 ? m_options.urgent_reserve : 0);
}

bool proxy::try_start_on_primary(group& of, const task_ptr& work, time_point now)
{
    server* const leader = of.leader ? find_server(*of.leader) : nullptr;
    if (leader == nullptr || !usable(*leader, now)) {
        return false;
    }
    const bool takes_slot = work->kind == detail::task_kind::statement;
    if (takes_slot && leader->running >= limit_of(*work, *leader)) {
        return false;
    }
    link* const chosen = idle_link(*leader, find_session(work->session));
    if (chosen == nullptr) {
        open_link_if_useful(*leader, now);
        return false;
    }
    of.queue.remove(*work);
    work->queued = false;
    assign(*chosen, work, now);
    return true;
}

dispatch::candidate proxy::make_candidate(const group& of, const server& chosen, const task& work,
                                          time_point now) const
{
    dispatch::candidate made;
    made.id = chosen.id;
    made.is_primary = of.leader == chosen.id;
    made.distance = chosen.distance;
    made.in_flight = chosen.running;
    made.limit = limit_of(work, chosen);
    made.mean_response_time = chosen.usual_time;
    made.needs_connection = !has_idle_link(chosen);
    made.expects_lag_refusal = chosen.applied < work.at_least->position && !made.is_primary &&
                               chosen.lag.expects_refusal(now - work.at_least->as_of, now);
    return made;
}

bool proxy::try_start_read(group& of, const task_ptr& work, time_point now)
{
    work->at_least = of.watermarks.position_for(work->bound);
    if (!work->at_least) {
        ask_for_proof(of, work->bound.acknowledged_before, now);
        return false;
    }
    std::vector<dispatch::candidate> candidates;
    for (const auto& [id, each] : m_servers) {
        const directory::server_record* const record = m_directory.find(id);
        if (each->service != of.service || record == nullptr || !usable(*each, now) ||
            work->avoid.contains(id)) {
            continue;
        }
        if (record->entry.draining && of.leader != id) {
            continue;
        }
        const auto candidate = make_candidate(of, *each, *work, now);
        if (!candidate.needs_connection || may_open(*each, now)) {
            candidates.push_back(candidate);
        }
    }
    if (candidates.empty() && !work->avoid.empty()) {
        work->avoid.clear();
        return false;
    }
    while (const auto chosen = dispatch::choose_for_read(candidates)) {
        server& target = *find_server(*chosen);
        if (link* const free = idle_link(target, find_session(work->session))) {
            of.queue.remove(*work);
            work->queued = false;
            assign(*free, work, now);
            return true;
        }
        open_link_if_useful(target, now);
        // Until that link is open, the next best server may run it.
        std::erase_if(candidates,
                      [&](const dispatch::candidate& each) { return each.id == *chosen; });
    }
    return false;
}

std::uint32_t proxy::places(const group& of, const task& work, time_point now) const
{
    std::uint32_t total = 0;
    for (const auto& [id, each] : m_servers) {
        if (each->service != of.service || !usable(*each, now)) {
            continue;
        }
        const bool is_leader = of.leader == id;
        if (work.needs_primary
                ? !is_leader
                : work.at_least && make_candidate(of, *each, work, now).expects_lag_refusal) {
            continue;
        }
        total += statement_limit(*each);
    }
    return total;
}

duration proxy::expected_wait(const group& of, const task& work, std::size_t ahead,
                              time_point now) const
{
    return of.estimate.expected_wait(ahead, places(of, work, now));
}

bool proxy::has_idle_link(const server& of) const
{
    return std::any_of(of.links.begin(), of.links.end(), [this](server_connection_id id) {
        return m_links.at(id)->phase == detail::link_phase::idle;
    });
}

proxy::link* proxy::idle_link(server& of, const session* wanted)
{
    link* best = nullptr;
    std::size_t best_cost = 0;
    for (const server_connection_id id : of.links) {
        link* const each = find_link(id);
        if (each->phase != detail::link_phase::idle) {
            continue;
        }
        const std::size_t cost = wanted == nullptr ? 0 : each->replayed.replay_cost(wanted->state);
        if (best == nullptr || cost < best_cost) {
            best = each;
            best_cost = cost;
        }
    }
    return best;
}

bool proxy::may_open(const server& to, time_point now) const
{
    return to.links.size() < to.max_links && now >= to.connect_after;
}

void proxy::open_link_if_useful(server& to, time_point now)
{
    if (to.opening >= max_opening || !may_open(to, now)) {
        return;
    }
    const directory::server_record* const record = m_directory.find(to.id);
    if (record == nullptr) {
        return;
    }
    const server_connection_id id{m_next_link++};
    auto opened = std::make_unique<link>();
    opened->id = id;
    opened->server = to.id;
    opened->command_sent = now;
    opened->limit = now + m_options.connect_limit;
    m_links.emplace(id, std::move(opened));
    to.links.insert(id);
    ++to.opening;
    const directory::server_entry& entry = record->entry;
    emit(open_server_connection{id, entry.host, entry.port, entry.service, entry.name});
}

void proxy::ask_for_proof(group& of, time_point moment, time_point now)
{
    if (of.proofs_running > 0 && of.newest_proof >= moment) {
        return;
    }
    if (of.proofs_running >= max_proofs || !of.leader) {
        return;
    }
    server* const leader = find_server(*of.leader);
    if (leader == nullptr || !usable(*leader, now)) {
        return;
    }
    link* const chosen = idle_link(*leader, nullptr);
    if (chosen == nullptr) {
        open_link_if_useful(*leader, now);
        return;
    }
    const task_ptr work{new task};
    work->kind = detail::task_kind::proof;
    work->route.service = of.service;
    work->needs_primary = true;
    work->arrived = now;
    ++of.proofs_running;
    of.newest_proof = now;
    assign(*chosen, work, now);
}

} // namespace gypsumstep::proxy
