#include "gypsumstep/failover/suspicion.h"

#include "gypsumstep/commit/rules.h"

#include <algorithm>
#include <set>

namespace gypsumstep::failover {

suspicion_tracker::suspicion_tracker(std::size_t group_size, const settings& limits)
    : m_group_size{group_size}, m_settings{limits}
{
}

void suspicion_tracker::set_homed(const std::vector<server_id>& servers, time_point now)
{
    std::map<server_id, observation> homed;
    for (const server_id server : servers) {
        const auto known = m_homed.find(server);
        homed[server] = known != m_homed.end() ? known->second : observation{now, {}, {}};
    }
    m_homed = std::move(homed);
}

std::vector<server_id> suspicion_tracker::homed() const
{
    std::vector<server_id> servers;
    for (const auto& entry : m_homed) {
        servers.push_back(entry.first);
    }
    return servers;
}

void suspicion_tracker::report(const health_report& report, const primary_view& known,
                               time_point now)
{
    const auto found = m_homed.find(report.server);
    if (found == m_homed.end()) {
        return;
    }
    observation& observed = found->second;
    observed.reported_at = now;
    observed.report = report;
    if (report.highest_seen <= known.primary_term) {
        observed.disputed_since.reset();
    }
    else if (!observed.disputed_since) {
        observed.disputed_since = now;
    }
}

void suspicion_tracker::vote(const suspicion& vote, time_point now)
{
    m_votes[{vote.server, vote.from}] = {vote.primary, now, vote.suspected};
}

void suspicion_tracker::restart(time_point now)
{
    m_votes.clear();
    m_restarted_at = now;
    for (auto& entry : m_homed) {
        entry.second = {now, {}, {}};
    }
}

bool suspicion_tracker::suspects(server_id server, const primary_view& known, time_point now) const
{
    const auto found = m_homed.find(server);
    if (found == m_homed.end()) {
        return false;
    }
    const observation& observed = found->second;
    const duration silence = now - observed.reported_at;
    if (!observed.report || silence >= m_settings.report_timeout) {
        return known.is_primary(server) && silence >= m_settings.contact_timeout;
    }
    const health_report& report = *observed.report;
    if (report.role == server_role::primary && report.primary.primary_term != known.primary_term) {
        return false; // a replaced primary has no view of its successor
    }
    const bool disputed =
        observed.disputed_since && now - *observed.disputed_since >= m_settings.contact_timeout;
    // A server that does not know of the new primary yet still reports the time since its contact
    // with the old one, so only the time since the restart counts.
    const duration age = std::min(report.primary_contact_age + silence, now - m_restarted_at);
    return disputed || age >= m_settings.contact_timeout;
}

bool suspicion_tracker::majority_suspects(const primary_view& known, time_point now) const
{
    std::set<server_id> suspecting;
    for (const auto& entry : m_homed) {
        if (suspects(entry.first, known, now)) {
            suspecting.insert(entry.first);
        }
    }
    for (const auto& [key, vote] : m_votes) {
        const bool fresh = now - vote.received_at < m_settings.vote_lifetime;
        if (fresh && vote.suspected && vote.primary.primary_term == known.primary_term) {
            suspecting.insert(key.first);
        }
    }
    return suspecting.size() >= commit::majority_of(m_group_size);
}

std::optional<health_report> suspicion_tracker::last_report(server_id server) const
{
    const auto found = m_homed.find(server);
    return found == m_homed.end() ? std::nullopt : found->second.report;
}

} // namespace gypsumstep::failover
