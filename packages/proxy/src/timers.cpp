// What time brings: limits, retries, promotions, the end of the process.
#include "gypsumstep/proxy/proxy.h"

#include <algorithm>

namespace gypsumstep::proxy {
namespace {

using detail::link_phase;

/// A longer time between two ticks means that this process was not running.
constexpr duration frozen_gap = 500ms;

/// Time between additions to a server's number of connections after a refusal.
constexpr duration raise_links_after = 1s;

/// A read is sent to a second server after this multiple of its server's usual time,
/// and not before the minimum.
constexpr int hedge_multiple = 6;
constexpr duration min_hedge_delay = 300ms;

/// Sessions that became idle later are closed after this rest.
constexpr duration close_rest = 100ms;

/// The process ends this long before it would be killed.
constexpr duration shutdown_margin = 300ms;

} // namespace

void proxy::on_tick(time_point now)
{
    if (m_last_tick && now - *m_last_tick > frozen_gap) {
        note(importance::notice, "this process did not run for a while", "",
             {{"gap_us", std::to_string((now - *m_last_tick).count())}});
        for (auto& [id, each] : m_servers) {
            each->health.resumed(now);
        }
    }
    m_last_tick = now;
    check_links(now);
    check_sessions(now);
    for (auto& [name, each] : m_groups) {
        choose_leader(*each, now);
        check_queue(*each, now);
        dispatch(*each, now);
        if (serves(name)) {
            keep_leader_link(*each, now);
            update_promotion(*each, now);
        }
    }
    for (auto next = m_servers.begin(); next != m_servers.end();) {
        server& each = *next->second;
        if (each.max_links < share_of(each.service).connections &&
            now - each.max_links_raised >= raise_links_after) {
            ++each.max_links;
            each.max_links_raised = now;
        }
        const bool gone = each.links.empty() && m_directory.find(each.id) == nullptr;
        next = gone ? m_servers.erase(next) : std::next(next);
    }
    if (m_shutdown_at) {
        continue_shutdown(now);
    }
}

void proxy::check_links(time_point now)
{
    std::vector<server_connection_id> ids;
    ids.reserve(m_links.size());
    for (const auto& [id, each] : m_links) {
        ids.push_back(id);
    }
    for (const server_connection_id id : ids) {
        link* const each = find_link(id);
        if (each == nullptr) {
            continue;
        }
        switch (each->phase) {
        case link_phase::idle:
            if (now - each->idle_since >= m_options.connection_rest &&
                find_server(each->server)->links.size() >
                    (serves(find_server(each->server)->service) ? m_options.resting_connections
                                                                : 0)) {
                drop_link(id, "it was not needed", now);
            }
            break;
        case link_phase::held:
            break;
        case link_phase::pausing:
            if (!each->work) {
                roll_back(*each, now);
            }
            else if (now >= each->work->not_before) {
                advance(*each, now);
            }
            break;
        case link_phase::opening:
            if (now >= each->limit) {
                emit(close_server_connection{id});
                on_server_connection_closed(id, "no answer to the start of a session", now);
            }
            break;
        default:
            find_server(each->server)->health.waiting_since(each->command_sent, now);
            if (now >= each->limit) {
                drop_link(id, "no answer in time", now);
            }
            else {
                check_running_reads(*each, now);
            }
            break;
        }
    }
}

void proxy::check_running_reads(link& of, time_point now)
{
    const task_ptr work = of.work;
    if (of.phase != link_phase::running || !work || !work->sent || !work->is_read || work->hedged ||
        of.in_transaction || m_hedge_credit < 1.0) {
        return;
    }
    const session* const owner = find_session(work->session);
    const server& at = *find_server(of.server);
    const duration delay = std::max(min_hedge_delay, at.usual_time * hedge_multiple);
    if (owner == nullptr || owner->open || now - work->sent_at < delay) {
        return;
    }
    m_hedge_credit -= 1.0;
    note(importance::notice, "sending a read to a second server", work->request.id,
         {{"server", name_of(at.id)},
          {"sent_us_ago", std::to_string((now - work->sent_at).count())},
          {"usual_us", std::to_string(at.usual_time.count())}});
    work->hedged = true;
    work->avoid.insert(at.id);
    of.work.reset();
    requeue(work, duration{0}, now);
}

void proxy::check_queue(group& of, time_point now)
{
    const auto unservable = dispatch::find_unservable(
        of.queue, now, [&](const dispatch::queued_statement& item, std::size_t ahead) {
            return expected_wait(of, static_cast<const task&>(item), ahead, now);
        });
    // Ending one statement may end others; the counts keep these alive.
    std::vector<task_ptr> expired;
    expired.reserve(unservable.size());
    for (dispatch::queued_statement* const item : unservable) {
        expired.emplace_back(static_cast<task*>(item));
    }
    for (const task_ptr& work : expired) {
        if (!work->queued) {
            continue;
        }
        of.queue.remove(*work);
        work->queued = false;
        note(importance::failure, "refused a statement: no server took it in time",
             work->request.id,
             {{"service", of.service},
              {"primary", of.leader ? name_of(*of.leader) : "unknown"},
              {"needs_primary", work->needs_primary ? "true" : "false"},
              {"position_known", work->at_least ? "true" : "false"},
              {"promotion", of.promotion.reason()},
              {"waiting", std::to_string(of.queue.size())}});
        refuse(work, error_class::busy, "no server was free in time; retry", now);
    }
}

void proxy::keep_leader_link(group& of, time_point now)
{
    server* const leader = of.leader ? find_server(*of.leader) : nullptr;
    // Without a connection nothing would show whether a failed primary is back.
    if (leader != nullptr && leader->links.empty()) {
        open_link_if_useful(*leader, now);
    }
}

void proxy::check_sessions(time_point now)
{
    const duration limit = m_routes.current().transaction_idle_timeout;
    if (limit == duration{0}) {
        return;
    }
    for (auto& [id, each] : m_sessions) {
        if (!each->open || !each->open->link || each->running ||
            now - each->open->last_used < limit) {
            continue;
        }
        note(importance::notice, "rolled back a transaction that its client left idle", "",
             {{"idle_us", std::to_string((now - each->open->last_used).count())},
              {"limit_us", std::to_string(limit.count())}});
        link* const held = find_link(*each->open->link);
        each->open->link.reset();
        each->open->failed = true;
        if (held != nullptr) {
            roll_back(*held, now);
        }
    }
}

void proxy::begin_shutdown(time_point now)
{
    if (m_shutdown_at) {
        return;
    }
    m_shutdown_at = now;
    for (auto& [id, each] : m_sessions) {
        each->close_at = now + m_random.between(duration{0}, session_close_window);
    }
}

void proxy::continue_shutdown(time_point now)
{
    const duration passed = now - *m_shutdown_at;
    const bool transactions_over = passed >= m_options.shutdown_grace / 2;
    std::vector<session_id> closing;
    for (auto& [id, each] : m_sessions) {
        if (each->running) {
            continue;
        }
        if (each->open && transactions_over) {
            closing.push_back(id);
            continue;
        }
        const bool due =
            each->close_at == time_point{} ? passed >= session_close_window : now >= each->close_at;
        if (!each->open && due && now - each->idle_since >= close_rest) {
            closing.push_back(id);
        }
    }
    for (const session_id id : closing) {
        emit(close_session{id});
        on_client_closed(id, now);
    }
    const bool over = passed >= m_options.shutdown_grace - shutdown_margin;
    if (!m_shutdown_reported && ((m_sessions.empty() && passed >= session_close_window) || over)) {
        m_shutdown_reported = true;
        emit(shutdown_complete{});
    }
}

} // namespace gypsumstep::proxy
