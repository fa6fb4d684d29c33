#include "gypsumstep/directory/server_directory.h"

#include <set>

namespace gypsumstep::directory {

directory_change server_directory::update(const std::vector<server_entry>& listing, time_point now)
{
    directory_change change;
    ++m_listing_number;
    std::set<server_id> listed;
    for (const server_entry& entry : listing) {
        server_record* known = find_instance(entry);
        if (known == nullptr) {
            const server_id id{m_next_id++};
            m_servers.emplace(id, server_record{id, entry, m_listing_number, {}});
            change.added.push_back(id);
            listed.insert(id);
            continue;
        }
        listed.insert(known->id);
        if (entry.draining && !known->entry.draining) {
            change.started_draining.push_back(known->id);
        }
        if (entry.role != known->entry.role) {
            known->role_listing_number = m_listing_number;
            change.role_changed.push_back(known->id);
        }
        known->entry = entry;
        known->missing_since.reset();
    }
    for (auto next = m_servers.begin(); next != m_servers.end();) {
        server_record& record = next->second;
        if (listed.contains(record.id)) {
            ++next;
            continue;
        }
        if (!record.missing_since) {
            record.missing_since = now;
            change.missing.push_back(record.id);
        }
        else if (now - *record.missing_since >= absence_grace) {
            change.removed.push_back(record.id);
            next = m_servers.erase(next);
            continue;
        }
        ++next;
    }
    return change;
}

const server_record* server_directory::find(server_id id) const
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second;
}

std::vector<const server_record*> server_directory::servers_of(std::string_view service) const
{
    std::vector<const server_record*> found;
    for (const auto& [id, record] : m_servers) {
        if (record.entry.service == service) {
            found.push_back(&record);
        }
    }
    return found;
}

server_record* server_directory::find_instance(const server_entry& entry)
{
    for (auto& [id, record] : m_servers) {
        const server_entry& known = record.entry;
        if (known.name == entry.name && known.started_unix_ms == entry.started_unix_ms &&
            known.host == entry.host && known.port == entry.port &&
            known.service == entry.service) {
            return &record;
        }
    }
    return nullptr;
}

} // namespace gypsumstep::directory
