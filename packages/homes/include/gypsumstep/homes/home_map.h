/// \file
/// Which daemons are the homes of which backend servers.
///
/// Only its two homes connect to a backend server. They are the two daemons with
/// the highest rendezvous weight among those of the server's failure domain, or
/// of the nearest other domain where none lives.
#pragma once

#include "gypsumstep/base/ids.h"
#include "gypsumstep/fleet/document.h"
#include "gypsumstep/membership/gossip_member.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace gypsumstep::homes {

using membership::endpoint;

/// The homes of one backend server, by weight. Both are empty if no daemon lives.
struct server_homes {
    std::optional<endpoint> first;
    std::optional<endpoint> second;

    friend bool operator==(const server_homes&, const server_homes&) = default;
};

/// The rendezvous weight of a daemon for a backend server; the highest wins.
[[nodiscard]] std::uint64_t weight(const endpoint& daemon, server_id server);

/// True if a member may be chosen as home: alive or suspect, also behind a cut.
///
/// A domain that is cut off has its own view of its members. Servers there keep
/// their homes, since no daemon outside could reach them either.
[[nodiscard]] bool is_candidate(const membership::member_view& member);

/// The homes of all servers of one configuration version, as one daemon sees them.
class home_map {
public:
    explicit home_map(const fleet::document& configuration);

    /// Replaces the configuration; returns the servers whose homes changed.
    std::vector<server_id> set_configuration(const fleet::document& configuration);

    /// Adds a daemon; returns the servers whose homes changed.
    std::vector<server_id> add(const endpoint& daemon, domain_id domain);

    /// Removes a daemon; returns the servers whose homes changed.
    std::vector<server_id> remove(const endpoint& daemon);

    /// The homes of a server; none for an unknown server.
    [[nodiscard]] server_homes homes_of(server_id server) const;

    /// The daemons that watch a group: the homes of its servers, each once.
    [[nodiscard]] std::vector<endpoint> watchers_of(group_id group) const;

    /// The servers of which a daemon is a home.
    [[nodiscard]] std::vector<server_id> servers_of(const endpoint& daemon) const;

private:
    struct server_entry {
        group_id group;
        domain_id domain;
        server_homes homes;
    };

    std::vector<server_entry> m_servers;          ///< by server id
    std::vector<std::vector<server_id>> m_groups; ///< by group id
    std::map<domain_id, std::vector<server_id>> m_servers_in;
    std::map<domain_id, std::vector<domain_id>> m_nearest; ///< each starts with the domain itself
    std::map<domain_id, std::set<endpoint>> m_daemons_in;
    std::map<endpoint, domain_id> m_daemons;

    void load(const fleet::document& configuration);
    [[nodiscard]] const std::set<endpoint>* candidates_for(domain_id domain) const;
    [[nodiscard]] std::vector<domain_id> domains_served_by(domain_id domain) const;
    [[nodiscard]] server_homes choose(server_id server) const;
    void offer(const endpoint& daemon, domain_id domain, std::vector<server_id>& changed);
    void recompute(domain_id domain, const endpoint* only_homed_by,
                   std::vector<server_id>& changed);
};

} // namespace gypsumstep::homes
