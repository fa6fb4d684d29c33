#include "gypsumstep/homes/home_table.h"

#include "rendezvous.h"

#include <algorithm>
#include <tuple>

namespace gypsumstep::homes {
home_table::home_table(std::string self, std::string domain,
                       std::map<std::string, std::string, std::less<>> regions)
    : m_self{std::move(self)}, m_domain{std::move(domain)}, m_regions{std::move(regions)}
{
    set_daemons({});
}

void home_table::set_daemons(std::vector<daemon_entry> daemons)
{
    m_daemons = std::move(daemons);
    const bool listed =
        std::any_of(m_daemons.begin(), m_daemons.end(),
                    [this](const daemon_entry& daemon) { return daemon.name == m_self; });
    if (!listed) {
        m_daemons.push_back({m_self, m_domain, "", 0, default_capacity});
    }
    std::sort(m_daemons.begin(), m_daemons.end());
    m_selections.clear();
    m_by_domain.clear();
    for (std::size_t place = 0; place < m_daemons.size(); ++place) {
        m_by_domain[m_daemons[place].domain].push_back(place);
    }
}

const std::vector<daemon_entry>& home_table::homes_of(std::string_view service,
                                                      std::uint32_t max_connections) const
{
    const bool all_fit =
        max_connections == 0 || (m_daemons.size() <= max_connections / min_connections &&
                                 m_daemons.size() <= max_direct_daemons);
    if (all_fit) {
        return m_daemons;
    }
    auto found = m_selections.find(service);
    if (found == m_selections.end() || found->second.max_connections != max_connections) {
        selection made{max_connections, select_homes(service, max_connections)};
        found = m_selections.insert_or_assign(std::string{service}, std::move(made)).first;
    }
    return found->second.homes;
}

std::vector<daemon_entry> home_table::select_homes(std::string_view service,
                                                   std::uint32_t max_connections) const
{
    using scored = std::pair<double, std::size_t>;
    const std::size_t max_homes = std::max<std::size_t>(1, max_connections / connections_per_home);
    const std::size_t per_domain =
        (target_homes + m_by_domain.size() - 1) / std::max<std::size_t>(m_by_domain.size(), 1);
    std::vector<std::vector<scored>> best_by_domain;
    for (const auto& [domain, places] : m_by_domain) {
        std::vector<scored> members;
        members.reserve(places.size());
        for (const std::size_t place : places) {
            members.emplace_back(group_score(m_daemons[place], service), place);
        }
        const std::size_t count = std::min(per_domain, members.size());
        std::partial_sort(members.begin(),
                          std::next(members.begin(), static_cast<std::ptrdiff_t>(count)),
                          members.end(), std::greater<>{});
        members.resize(count);
        best_by_domain.push_back(std::move(members));
    }
    std::vector<daemon_entry> homes;
    // Takes the best daemon of every domain, then the second best, up to the connection limit.
    for (std::size_t rank = 0; rank < per_domain; ++rank) {
        for (const std::vector<scored>& members : best_by_domain) {
            if (rank < members.size() && homes.size() < max_homes) {
                homes.push_back(m_daemons[members[rank].second]);
            }
        }
    }
    return homes;
}

std::uint32_t home_table::connection_share(std::string_view service,
                                           std::uint32_t max_connections) const
{
    if (max_connections == 0) {
        return connections_per_home;
    }
    const auto homes = static_cast<std::uint32_t>(homes_of(service, max_connections).size());
    return std::clamp(max_connections / std::max(homes, 1U), min_connections,
                      max_connections_per_home);
}

bool home_table::is_home(std::string_view service, std::uint32_t max_connections) const
{
    const std::vector<daemon_entry>& homes = homes_of(service, max_connections);
    return std::any_of(homes.begin(), homes.end(),
                       [this](const daemon_entry& daemon) { return daemon.name == m_self; });
}

std::vector<daemon_entry> home_table::forwarding_order(std::string_view service,
                                                       std::uint32_t max_connections,
                                                       std::uint64_t session_number,
                                                       time_point now) const
{
    std::vector<daemon_entry> homes = homes_of(service, max_connections);
    std::erase_if(homes, [this](const daemon_entry& daemon) { return daemon.name == m_self; });
    const auto key = [&](const daemon_entry& daemon) {
        return std::tuple{is_failing(daemon.name, now), distance_to(daemon.domain),
                          session_hash(daemon.name, session_number)};
    };
    std::sort(homes.begin(), homes.end(), [&](const daemon_entry& left, const daemon_entry& right) {
        return key(left) < key(right);
    });
    return homes;
}

void home_table::mark_failed(const std::string& daemon, time_point now)
{
    m_failed[daemon] = now;
}

void home_table::mark_reachable(const std::string& daemon)
{
    m_failed.erase(daemon);
}

bool home_table::is_failing(const std::string& daemon, time_point now) const
{
    const auto found = m_failed.find(daemon);
    return found != m_failed.end() && now - found->second < failure_backoff;
}

int home_table::distance_to(const std::string& domain) const
{
    if (domain == m_domain) {
        return 0;
    }
    const auto there = m_regions.find(domain);
    const auto here = m_regions.find(m_domain);
    const bool same_region =
        there != m_regions.end() && here != m_regions.end() && there->second == here->second;
    return same_region ? 1 : 2;
}

} // namespace gypsumstep::homes
