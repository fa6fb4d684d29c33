// Database groups: configuration, servers, shares, the primary.
#include "gypsumstep/proxy/proxy.h"

#include <algorithm>

namespace gypsumstep::proxy {
namespace {

/// Watermarks are kept this much longer than any route's staleness.
constexpr duration watermark_slack = 1s;

} // namespace

proxy::group& proxy::group_of(const std::string& service)
{
    auto& found = m_groups[service];
    if (!found) {
        found = std::make_unique<group>(service, m_options.daemon, m_random.below(UINT64_MAX));
        found->watermarks.set_retention(m_routes.max_staleness() + watermark_slack);
    }
    return *found;
}

proxy::group* proxy::find_group(const std::string& service)
{
    const auto found = m_groups.find(service);
    return found == m_groups.end() ? nullptr : found->second.get();
}

void proxy::on_configuration(directory::configuration next, time_point now)
{
    const auto version = next.version;
    const auto routes = next.routes.size();
    if (!m_routes.apply(std::move(next))) {
        return;
    }
    note(importance::notice, "put a configuration in force", "",
         {{"configuration", std::to_string(version.value())}, {"routes", std::to_string(routes)}});
    for (auto& [name, each] : m_groups) {
        each->watermarks.set_retention(m_routes.max_staleness() + watermark_slack);
        dispatch(*each, now);
    }
}

void proxy::on_servers(const std::vector<directory::server_entry>& listing, time_point now)
{
    const directory::directory_change change = m_directory.update(listing, now);
    for (const server_id id : change.added) {
        add_server(*m_directory.find(id));
    }
    const auto report = [this](const char* what, const std::vector<server_id>& ids) {
        for (const server_id id : ids) {
            const directory::server_entry& entry = m_directory.find(id)->entry;
            note(importance::notice, what, "",
                 {{"server", entry.name}, {"service", entry.service}, {"domain", entry.domain}});
        }
    };
    report("a backend server registered", change.added);
    report("a backend server is draining", change.started_draining);
    report("a backend server's registration lapsed", change.missing);
    report("a backend server changed its role", change.role_changed);
    for (const server_id id : change.role_changed) {
        find_server(id)->refused_lead_until = {};
    }
    for (const server_id id : change.removed) {
        note(importance::notice, "a backend server is gone", "",
             {{"server", std::to_string(id.value())}, {"service", find_server(id)->service}});
        remove_server(id, now);
    }
    for (auto& [name, each] : m_groups) {
        choose_leader(*each, now);
        dispatch(*each, now);
    }
    for (const server_id id : change.added) {
        if (serves(find_server(id)->service)) {
            open_link_if_useful(*find_server(id), now);
        }
    }
}

void proxy::set_served_groups(std::map<std::string, group_share, std::less<>> services,
                              time_point now)
{
    m_served = std::move(services);
    for (auto& [id, each] : m_servers) {
        if (each->links.empty() && serves(each->service)) {
            open_link_if_useful(*each, now);
        }
    }
}

bool proxy::serves(const std::string& service) const
{
    return !m_served || m_served->contains(service);
}

group_share proxy::share_of(const std::string& service) const
{
    if (m_served) {
        if (const auto found = m_served->find(service); found != m_served->end()) {
            return found->second;
        }
    }
    return {m_options.connections_per_server, 0};
}

dispatch::proximity proxy::proximity_of(const std::string& domain) const
{
    if (domain == m_options.domain) {
        return dispatch::proximity::same_domain;
    }
    const auto there = m_options.regions.find(domain);
    const auto here = m_options.regions.find(m_options.domain);
    const bool same = there != m_options.regions.end() && here != m_options.regions.end() &&
                      there->second == here->second;
    return same ? dispatch::proximity::same_region : dispatch::proximity::remote;
}

void proxy::add_server(const directory::server_record& record)
{
    auto added = std::make_unique<server>();
    added->id = record.id;
    added->service = record.entry.service;
    added->distance = proximity_of(record.entry.domain);
    // Grows with time: after a restart of all daemons the servers still count old connections.
    added->max_links = m_options.resting_connections;
    m_servers.emplace(record.id, std::move(added));
    (void)group_of(record.entry.service);
}

void proxy::remove_server(server_id id, time_point now)
{
    server& removed = *find_server(id);
    if (group* const of = find_group(removed.service); of != nullptr && of->leader == id) {
        of->leader.reset();
    }
    // Statements in flight there end with their connections.
    const std::set<server_connection_id> links = removed.links;
    for (const server_connection_id each : links) {
        const link* const held = find_link(each);
        if (held != nullptr && held->phase == detail::link_phase::idle) {
            drop_link(each, "the server is gone", now);
        }
    }
    if (removed.links.empty()) {
        m_servers.erase(id);
    }
}

void proxy::choose_leader(group& of, time_point now)
{
    const directory::server_record* best = nullptr;
    for (const directory::server_record* each : m_directory.servers_of(of.service)) {
        const server* const known = find_server(each->id);
        if (each->entry.role != directory::server_role::primary || known == nullptr ||
            now < known->refused_lead_until) {
            continue;
        }
        if (best == nullptr || each->role_listing_number > best->role_listing_number ||
            (each->role_listing_number == best->role_listing_number && each->id == of.leader)) {
            best = each;
        }
    }
    // A server that answered as the primary is believed before its registration says so.
    if (of.leader) {
        const server* const held = find_server(*of.leader);
        const directory::server_record* const record = m_directory.find(*of.leader);
        const bool still_fits = held != nullptr && record != nullptr &&
                                now >= held->refused_lead_until &&
                                (record->entry.role == directory::server_role::primary ||
                                 record->role_listing_number <= of.leader_listing);
        if (still_fits && (best == nullptr || best->role_listing_number <= of.leader_listing)) {
            return;
        }
    }
    const std::optional<server_id> chosen =
        best == nullptr ? std::nullopt : std::optional{best->id};
    if (chosen == of.leader) {
        return;
    }
    note(importance::notice, chosen ? "took a server for the primary" : "no primary is known", "",
         {{"service", of.service},
          {"server", chosen ? name_of(*chosen) : ""},
          {"before", of.leader ? name_of(*of.leader) : ""}});
    of.leader = chosen;
    of.leader_listing = m_directory.listing_number();
}

} // namespace gypsumstep::proxy
