#include "gypsumstep/homes/home_map.h"

#include "gypsumstep/base/random.h"

#include <algorithm>
#include <tuple>

namespace gypsumstep::homes {
namespace {

/// The domains in the order in which they stand in for \p origin, itself first.
///
/// The same region comes first. Within a region, the ids that follow come before
/// those that precede, so that not all domains fall back on the same one.
std::vector<domain_id> by_distance(const fleet::document& configuration,
                                   const fleet::domain& origin)
{
    const auto distance = [&](const fleet::domain& other) {
        const bool far = other.region != origin.region;
        const auto steps = static_cast<std::uint16_t>(other.id.value() - origin.id.value());
        return std::pair{far, steps};
    };
    std::vector<fleet::domain> sorted = configuration.domains;
    std::ranges::sort(sorted, {}, distance);
    std::vector<domain_id> result;
    result.reserve(sorted.size());
    for (const fleet::domain& item : sorted) {
        result.push_back(item.id);
    }
    return result;
}

/// Equal weights are told apart by the address.
auto ranking(const endpoint& daemon, server_id server)
{
    return std::pair{weight(daemon, server), daemon};
}

/// Places \p daemon among the homes if it outweighs one of them.
server_homes with_offer(const server_homes& homes, const endpoint& daemon, server_id server)
{
    if (homes.first == daemon || homes.second == daemon) {
        return homes;
    }
    if (!homes.first || ranking(daemon, server) > ranking(*homes.first, server)) {
        return {daemon, homes.first};
    }
    if (!homes.second || ranking(daemon, server) > ranking(*homes.second, server)) {
        return {homes.first, daemon};
    }
    return homes;
}

} // namespace

std::uint64_t weight(const endpoint& daemon, server_id server)
{
    return mix(membership::to_integer(daemon), server.value());
}

bool is_candidate(const membership::member_view& member)
{
    return membership::is_present(member.record);
}

home_map::home_map(const fleet::document& configuration)
{
    load(configuration);
}

void home_map::load(const fleet::document& configuration)
{
    m_servers.clear();
    m_groups.clear();
    m_servers_in.clear();
    m_nearest.clear();
    for (const fleet::domain& item : configuration.domains) {
        m_nearest[item.id] = by_distance(configuration, item);
    }
    for (const fleet::group& item : configuration.groups) {
        m_groups.push_back(item.servers);
    }
    for (const fleet::server& item : configuration.servers) {
        m_servers.push_back({item.group, item.failure_domain, {}});
        m_servers_in[item.failure_domain].push_back(item.id);
    }
    for (std::size_t index = 0; index < m_servers.size(); ++index) {
        const server_id server{static_cast<std::uint32_t>(index)};
        m_servers[index].homes = choose(server);
    }
}

std::vector<server_id> home_map::set_configuration(const fleet::document& configuration)
{
    const std::vector<server_entry> before = m_servers;
    load(configuration);
    std::vector<server_id> changed;
    for (std::size_t index = 0; index < std::max(before.size(), m_servers.size()); ++index) {
        const server_homes old_homes = index < before.size() ? before[index].homes : server_homes{};
        const server_id server{static_cast<std::uint32_t>(index)};
        if (old_homes != homes_of(server)) {
            changed.push_back(server);
        }
    }
    return changed;
}

std::vector<server_id> home_map::add(const endpoint& daemon, domain_id domain)
{
    std::vector<server_id> changed;
    if (const auto known = m_daemons.find(daemon); known != m_daemons.end()) {
        if (known->second == domain) {
            return changed;
        }
        changed = remove(daemon);
    }
    const bool first_in_domain = m_daemons_in[domain].empty();
    m_daemons.emplace(daemon, domain);
    m_daemons_in[domain].insert(daemon);
    for (const domain_id served : domains_served_by(domain)) {
        if (first_in_domain) {
            recompute(served, nullptr, changed);
        }
        else {
            offer(daemon, served, changed);
        }
    }
    return changed;
}

std::vector<server_id> home_map::remove(const endpoint& daemon)
{
    std::vector<server_id> changed;
    const auto known = m_daemons.find(daemon);
    if (known == m_daemons.end()) {
        return changed;
    }
    const domain_id domain = known->second;
    const std::vector<domain_id> served = domains_served_by(domain);
    m_daemons.erase(known);
    m_daemons_in[domain].erase(daemon);
    for (const domain_id item : served) {
        recompute(item, &daemon, changed);
    }
    return changed;
}

server_homes home_map::homes_of(server_id server) const
{
    return server.value() < m_servers.size() ? m_servers[server.value()].homes : server_homes{};
}

std::vector<endpoint> home_map::watchers_of(group_id group) const
{
    std::vector<endpoint> watchers;
    if (group.value() >= m_groups.size()) {
        return watchers;
    }
    for (const server_id server : m_groups[group.value()]) {
        const server_homes homes = homes_of(server);
        for (const auto& home : {homes.first, homes.second}) {
            if (home && std::ranges::find(watchers, *home) == watchers.end()) {
                watchers.push_back(*home);
            }
        }
    }
    return watchers;
}

std::vector<server_id> home_map::servers_of(const endpoint& daemon) const
{
    std::vector<server_id> result;
    for (std::size_t index = 0; index < m_servers.size(); ++index) {
        const server_homes& homes = m_servers[index].homes;
        if (homes.first == daemon || homes.second == daemon) {
            result.emplace_back(static_cast<std::uint32_t>(index));
        }
    }
    return result;
}

const std::set<endpoint>* home_map::candidates_for(domain_id domain) const
{
    const auto order = m_nearest.find(domain);
    if (order == m_nearest.end()) {
        return nullptr;
    }
    for (const domain_id near : order->second) {
        const auto daemons = m_daemons_in.find(near);
        if (daemons != m_daemons_in.end() && !daemons->second.empty()) {
            return &daemons->second;
        }
    }
    return nullptr;
}

std::vector<domain_id> home_map::domains_served_by(domain_id domain) const
{
    std::vector<domain_id> result;
    const auto daemons = m_daemons_in.find(domain);
    for (const auto& [served, order] : m_nearest) {
        if (daemons != m_daemons_in.end() && candidates_for(served) == &daemons->second) {
            result.push_back(served);
        }
    }
    return result;
}

server_homes home_map::choose(server_id server) const
{
    server_homes homes;
    if (const auto* candidates = candidates_for(m_servers[server.value()].domain)) {
        for (const endpoint& daemon : *candidates) {
            homes = with_offer(homes, daemon, server);
        }
    }
    return homes;
}

void home_map::offer(const endpoint& daemon, domain_id domain, std::vector<server_id>& changed)
{
    for (const server_id server : m_servers_in[domain]) {
        server_homes& homes = m_servers[server.value()].homes;
        const server_homes updated = with_offer(homes, daemon, server);
        if (updated != homes) {
            homes = updated;
            changed.push_back(server);
        }
    }
}

void home_map::recompute(domain_id domain, const endpoint* only_homed_by,
                         std::vector<server_id>& changed)
{
    for (const server_id server : m_servers_in[domain]) {
        server_homes& homes = m_servers[server.value()].homes;
        const bool concerned = only_homed_by == nullptr || homes.first == *only_homed_by ||
                               homes.second == *only_homed_by;
        if (!concerned) {
            continue;
        }
        if (const server_homes updated = choose(server); updated != homes) {
            homes = updated;
            changed.push_back(server);
        }
    }
}

} // namespace gypsumstep::homes
