// Change of the primary where the platform does not stop the old one: which server may lead, and
// when this daemon may use it; see promotion::claim_exchange.
#include "gypsumstep/proxy/proxy.h"

#include <algorithm>

namespace gypsumstep::proxy {
namespace {

using detail::connection_phase;
using statement::command_kind;

/// Time for a former primary to confirm that it takes no more writes. Covers a new connection and
/// a round trip between regions; after it, the server counts as unreachable.
constexpr duration demotion_timeout = 600ms;

/// Interval between requests to a former primary that did not confirm.
constexpr duration demotion_retry_interval = 150ms;

/// Time from a failed read of the claims to the next one, at least.
constexpr duration failed_read_backoff = 700ms;

} // namespace

bool proxy::may_lead(const backend_server& server) const
{
    return !m_exchange || m_exchange->allows(server.service, server.entry.name);
}

bool proxy::is_lead_usable(const database_group& group, time_point now) const
{
    return !m_exchange || m_exchange->is_permitted(group.service, now);
}

void proxy::set_daemons(std::vector<std::string> daemons,
                        const std::map<std::string, std::vector<std::string>, std::less<>>& homes)
{
    if (!m_exchange) {
        return;
    }
    m_exchange->set_daemons(std::move(daemons));
    for (const auto& [service, names] : homes) {
        m_exchange->set_homes(service, names);
    }
}

void proxy::on_claims_read(const std::optional<std::vector<promotion::claim_notice>>& claims,
                           time_point now)
{
    if (!m_exchange || !m_claims_requested_at) {
        return;
    }
    const time_point asked_at = *std::exchange(m_claims_requested_at, std::nullopt);
    if (!claims) {
        m_next_claim_request = now + m_random.between(failed_read_backoff, failed_read_backoff * 2);
        return;
    }
    m_exchange->on_claims_read(*claims, asked_at);
    apply_claims(now);
    send_peer_messages(now);
}

void proxy::on_store_era(std::uint64_t era, time_point now)
{
    if (m_exchange) {
        m_exchange->on_store_era(era, now);
    }
}

std::uint64_t proxy::newest_token(const std::string& service) const
{
    const promotion::claim_notice* const claim = m_exchange ? m_exchange->newest(service) : nullptr;
    return claim == nullptr ? 0 : claim->token;
}

void proxy::on_peer_message(const promotion::peer_message& message, time_point now)
{
    if (!m_exchange) {
        return;
    }
    m_exchange->on_message(message, now);
    // An answer tells whether this daemon follows the claims of the question, so these come first.
    apply_claims(now);
    finish_hand_overs(now);
    send_peer_messages(now);
}

void proxy::run_exchange(time_point now)
{
    if (!m_exchange) {
        return;
    }
    // Permits and questions of other daemons leave no time to be late.
    request_tick(tick_need::soon);
    follow_groups();
    m_exchange->on_tick(now);
    apply_claims(now);
    request_claims(now);
    finish_hand_overs(now);
    send_peer_messages(now);
}

void proxy::send_peer_messages(time_point now)
{
    for (promotion::outgoing_message& next : m_exchange->take_messages(now)) {
        emit(send_peer_message{std::move(next.receiver), std::move(next.content)});
    }
}

void proxy::finish_hand_overs(time_point now)
{
    for (auto& [service, group] : m_groups) {
        if (const auto result = m_exchange->finish_hand_over(service, now)) {
            group->promotion.on_handed_over(*result, now);
            run_promotion_actions(*group, now);
        }
    }
}

void proxy::follow_groups()
{
    for (const auto& [service, group] : m_groups) {
        if (is_home_of(service) || has_connections(*group) || !group->queue.empty()) {
            m_exchange->follow(service);
        }
    }
}

void proxy::request_claims(time_point now)
{
    if (!m_claims_requested_at && now >= m_next_claim_request &&
        m_exchange->needs_store_read(now)) {
        m_claims_requested_at = now;
        emit(read_claims{});
    }
}

void proxy::apply_claims(time_point now)
{
    for (const std::string& service : m_exchange->unreleased()) {
        const promotion::claim_notice claim = *m_exchange->newest(service);
        database_group* const group = find_group(service);
        if (group == nullptr) {
            m_exchange->release({service, claim.token, {}, {}});
            continue;
        }
        if (!group->release || group->release->token != claim.token) {
            stop_using_former_primary(*group, claim, now);
        }
        continue_release(*group, now);
    }
}

void proxy::stop_using_former_primary(database_group& group, const promotion::claim_notice& claim,
                                      time_point now)
{
    detail::lead_release started;
    started.token = claim.token;
    started.deadline = now + demotion_timeout;
    if (group.last_primary) {
        const backend_server* const last = find_server(*group.last_primary);
        if (last != nullptr && !may_lead(*last) &&
            (!group.demoted || group.demoted->first != last->id)) {
            started.former = last->id;
        }
    }
    group.release = started;
    request_tick(tick_need::soon);
    log_decision(importance::notice, "follows a claim on the lead of a group", "",
                 {{"service", group.service},
                  {"token", std::to_string(claim.token)},
                  {"target", claim.target},
                  {"former", started.former ? name_of(*started.former) : ""}});
    const std::vector<backend_server*> servers = group.servers;
    for (backend_server* const server : servers) {
        if (!may_lead(*server)) {
            abort_work_on(*server, now);
        }
    }
    choose_primary(group, now);
}

void proxy::abort_work_on(backend_server& server, time_point now)
{
    const std::set<server_connection_id> connections = server.connections;
    for (const server_connection_id id : connections) {
        const server_connection* const connection = find_connection(id);
        if (connection == nullptr) {
            continue;
        }
        const task_ptr work = connection->work;
        const bool is_statement = work && work->kind == detail::task_kind::statement;
        const client_session* const owner = connection->transaction_owner
                                                ? find_session(*connection->transaction_owner)
                                            : is_statement ? find_session(work->session)
                                                           : nullptr;
        const bool writes =
            owner != nullptr && (owner->open_transaction ? !owner->open_transaction->read_only
                                                         : work && !work->is_read);
        // A commit or a write that was sent may have run, so its answer is awaited.
        const bool may_commit = work && work->sent &&
                                (owner != nullptr && owner->open_transaction
                                     ? work->is_commit && owner->open_transaction->wrote
                                     : true);
        if (writes && !may_commit) {
            close_connection(id, "another server is to lead the group", now);
        }
    }
}

void proxy::continue_release(database_group& group, time_point now)
{
    detail::lead_release& release = *group.release;
    backend_server* const former = release.former ? find_server(*release.former) : nullptr;
    const bool unreachable =
        former == nullptr || now >= release.deadline ||
        former->health.failing_for(now) >= promotion::coordinator::suspicion_delay;
    if (unreachable) {
        finish_release(group, {}, {});
        return;
    }
    if (now >= release.next_request && request_demotion(group, *former, now)) {
        release.next_request = now + demotion_retry_interval;
    }
}

bool proxy::request_demotion(database_group& group, backend_server& server, time_point now)
{
    server_connection* const connection = find_idle_connection(server, nullptr);
    if (connection == nullptr) {
        open_connection_if_allowed(server, {}, now);
        return false;
    }
    statement::server_command command;
    command.kind = command_kind::demote;
    command.at_term = group.primary_term.next();
    connection->phase = connection_phase::surveying;
    send(*connection, std::move(command), demotion_timeout, now);
    return true;
}

void proxy::on_demotion_answered(database_group& group, const backend_server& server,
                                 const statement::server_status& status, time_point now)
{
    if (!group.release || group.release->former != server.id) {
        return;
    }
    if (status.is_primary) {
        // The term was too low. Its newest one is known now.
        group.release->next_request = now;
        continue_release(group, now);
        return;
    }
    group.demoted = {server.id, status.received};
    finish_release(group, server.entry.name, status.received);
    finish_hand_overs(now);
}

void proxy::finish_release(database_group& group, const std::string& demoted,
                           const std::optional<log_position>& position)
{
    log_decision(importance::notice, "uses no former primary of a group", "",
                 {{"service", group.service},
                  {"token", std::to_string(group.release->token)},
                  {"demoted", demoted},
                  {"position", position ? to_string(*position) : ""}});
    m_exchange->release({group.service, group.release->token, demoted, position});
    group.release.reset();
}

bool proxy::is_former_primary(const backend_server& server) const
{
    if (!m_exchange) {
        return false;
    }
    const auto group = m_groups.find(server.service);
    return group != m_groups.end() && group->second->last_primary == server.id;
}

bool proxy::is_being_released(const backend_server& server) const
{
    const auto group = m_groups.find(server.service);
    return group != m_groups.end() && group->second->release &&
           group->second->release->former == server.id;
}

bool proxy::is_kept(const database_group& group, server_id server,
                    const statement::answer& content) const
{
    return group.demoted && group.demoted->first == server && content.position &&
           *content.position <= group.demoted->second;
}

} // namespace gypsumstep::proxy
