/// \file
/// Which daemons connect to the servers of a database group.
///
/// A server admits a limited number of connections. Where there are more daemons than it
/// admits, each group is served by a few homes, and the other daemons forward sessions to
/// them. Homes follow from the announced daemons alone, so all daemons agree on them
/// without asking each other.
#pragma once

#include "gypsumstep/base/time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumstep::homes {

/// Processor capacity of a daemon that did not announce it, in thousandths of a core: the
/// share that the smaller deployments give.
inline constexpr std::uint32_t default_capacity = 250;

/// A daemon as it announced itself.
struct daemon_entry {
    std::string name;
    std::string domain; ///< failure domain
    std::string host;   ///< where it takes forwarded sessions
    std::uint16_t port{0};
    std::uint32_t capacity{default_capacity}; ///< thousandths of a processor core

    friend auto operator<=>(const daemon_entry&, const daemon_entry&) = default;
};

/// A daemon's row in the store.
struct announcement {
    daemon_entry daemon;
    std::chrono::milliseconds announced_at{0}; ///< on the store's clock

    friend auto operator<=>(const announcement&, const announcement&) = default;
};

/// Chooses homes by rendezvous hashing.
class home_table {
public:
    /// Connections that a home needs to one server, so that its sessions do not wait for
    /// each other's.
    static constexpr std::uint32_t connections_per_home = 4;

    /// More connections to one server are of no use to a home: it runs fewer statements at
    /// a time, and the rest holds transactions whose clients pause.
    static constexpr std::uint32_t max_connections_per_home = 8;

    /// Homes of a group over all failure domains: enough to lose some, and few enough for
    /// each to fill a part of the servers' slots that it can order by priority.
    static constexpr std::size_t wanted_homes = 6;

    /// Connections that a daemon needs to one server at the least. Where the servers admit
    /// as many from all daemons, nothing is forwarded.
    static constexpr std::uint32_t min_connections = 2;

    /// More daemons than this are too many for one group in any case: each runs a few
    /// statements at a time, and together they would only lengthen the servers' queues.
    static constexpr std::size_t max_direct_daemons = 24;

    /// How long a daemon that did not take a session is passed over. A daemon that ended
    /// stays announced for longer, and finding it silent costs a session its start.
    static constexpr duration failure_pause = 5s;

    /// \param self this daemon's name
    /// \param regions region of each failure domain
    home_table(std::string self, std::string domain,
               std::map<std::string, std::string, std::less<>> regions);

    /// Replaces the announced daemons; this daemon always counts.
    void set_daemons(std::vector<daemon_entry> daemons);

    [[nodiscard]] const std::vector<daemon_entry>& daemons() const { return m_daemons; }

    /// The homes of a group whose servers admit \p max_connections each; all daemons if the
    /// servers have room for them.
    [[nodiscard]] std::vector<daemon_entry> homes_of(std::string_view service,
                                                     std::uint32_t max_connections) const;

    /// Connections to one server that a home of the group may use: its part of what the
    /// server admits.
    [[nodiscard]] std::uint32_t connection_share(std::string_view service,
                                                 std::uint32_t max_connections) const;

    /// True if this daemon serves the group itself.
    [[nodiscard]] bool is_home(std::string_view service, std::uint32_t max_connections) const;

    /// Homes in the order in which a session tries them: near ones first, and among these
    /// by \p turn, so that sessions are spread. Daemons that failed lately come last.
    [[nodiscard]] std::vector<daemon_entry> forwarding_order(std::string_view service,
                                                             std::uint32_t max_connections,
                                                             std::uint64_t turn,
                                                             time_point now) const;

    /// A daemon did not take a session.
    void mark_failed(const std::string& daemon, time_point now);

    /// A daemon took a session.
    void mark_reachable(const std::string& daemon);

private:
    [[nodiscard]] int distance_to(const std::string& domain) const;

    std::string m_self;
    std::string m_domain;
    std::map<std::string, std::string, std::less<>> m_regions;
    std::vector<daemon_entry> m_daemons;
    std::map<std::string, time_point, std::less<>> m_failed;
};

} // namespace gypsumstep::homes
