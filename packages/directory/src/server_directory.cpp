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
            m_by_service[entry.service].push_back(id);
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
            std::erase(m_by_service[record.entry.service], record.id);
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
    const auto ids = m_by_service.find(service);
    if (ids == m_by_service.end()) {
        return found;
    }
    found.reserve(ids->second.size());
    for (const server_id id : ids->second) {
        found.push_back(&m_servers.at(id));
    }
    return found;
}

server_record* server_directory::find_instance(const server_entry& entry)
{
    const auto ids = m_by_service.find(entry.service);
    if (ids == m_by_service.end()) {
        return nullptr;
    }
    for (const server_id id : ids->second) {
        server_record& record = m_servers.at(id);
        const server_entry& known = record.entry;
        if (known.name == entry.name && known.started_unix_ms == entry.started_unix_ms &&
            known.host == entry.host && known.port == entry.port) {
            return &record;
        }
    }
    return nullptr;
}

} // namespace gypsumstep::directory
