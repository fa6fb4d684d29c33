#include "gypsumstep/directory/route_table.h"

#include <algorithm>

namespace gypsumstep::directory {

bool route_table::apply(configuration next)
{
    if (m_loaded && next.version <= m_current.version) {
        return false;
    }
    m_loaded = true;
    m_current = std::move(next);
    m_by_database.clear();
    for (std::size_t i = 0; i < m_current.routes.size(); ++i) {
        m_by_database.insert_or_assign(m_current.routes[i].database, i);
    }
    return true;
}

const route* route_table::find(std::string_view database) const
{
    const auto found = m_by_database.find(database);
    return found == m_by_database.end() ? nullptr : &m_current.routes[found->second];
}

service_settings route_table::settings_of(std::string_view service) const
{
    const auto found = m_current.services.find(service);
    return found == m_current.services.end() ? service_settings{} : found->second;
}

duration route_table::max_staleness() const
{
    duration longest{0};
    for (const route& entry : m_current.routes) {
        longest = std::max(longest, entry.max_staleness);
    }
    return longest;
}

} // namespace gypsumstep::directory
