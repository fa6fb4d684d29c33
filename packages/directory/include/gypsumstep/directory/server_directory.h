/// \file
/// The registered backend servers and their state.
#pragma once

#include "gypsumstep/base/ids.h"
#include "gypsumstep/base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumstep::directory {

/// The role that a server reports for itself.
enum class server_role : std::uint8_t { replica, primary };

/// The registration of one server.
struct server_entry {
    std::string name;    ///< instance id; sent when connecting, since addresses are reused
    std::string service; ///< database group
    std::string host;    ///< IPv4 address
    std::uint16_t port{0};
    std::string domain; ///< failure domain
    std::uint32_t slots{0};
    bool draining{false};
    server_role role{server_role::replica};
    std::int64_t started_unix_ms{0}; ///< start time; distinguishes restarts under the same name

    friend bool operator==(const server_entry&, const server_entry&) = default;
};

/// A server as the directory knows it.
struct server_record {
    server_id id; ///< unique for each start of an instance
    server_entry entry;
    std::uint64_t role_listing_number{0};    ///< first listing that showed the current role
    std::optional<time_point> missing_since; ///< first absence from a listing, if absent

    friend bool operator==(const server_record&, const server_record&) = default;
};

/// The differences between two listings.
struct directory_change {
    std::vector<server_id> added;
    std::vector<server_id> removed;
    std::vector<server_id> started_draining;
    std::vector<server_id> missing; ///< newly absent; kept for the grace period
    std::vector<server_id> role_changed;

    [[nodiscard]] bool empty() const
    {
        return added.empty() && removed.empty() && started_draining.empty() && missing.empty() &&
               role_changed.empty();
    }
};

/// Tracks the servers through successive listings of their registrations.
class server_directory {
public:
    /// How long an absent server is still used. Entries that lapse during an outage of the store
    /// reappear about two seconds after it returns.
    static constexpr duration absence_grace = 2500ms;

    /// Replaces the listing by a newer one, read at \p now, and returns what changed.
    directory_change update(const std::vector<server_entry>& listing, time_point now);

    /// Returns all servers, including those absent for less than the grace period.
    [[nodiscard]] const std::map<server_id, server_record>& servers() const { return m_servers; }

    /// Returns a server, or nullptr if it was removed.
    [[nodiscard]] const server_record* find(server_id id) const;

    /// Returns the servers of a group, in ascending order of their ids.
    [[nodiscard]] std::vector<const server_record*> servers_of(std::string_view service) const;

    [[nodiscard]] bool loaded() const { return m_listing_number > 0; }

    /// Returns the number of listings so far. Comparable with
    /// server_record::role_listing_number.
    [[nodiscard]] std::uint64_t listing_number() const { return m_listing_number; }

private:
    server_record* find_instance(const server_entry& entry);

    std::map<server_id, server_record> m_servers;
    std::map<std::string, std::vector<server_id>, std::less<>> m_by_service; ///< ascending
    std::uint32_t m_next_id{1};
    std::uint64_t m_listing_number{0};
};

} // namespace gypsumstep::directory
