/// \file
/// Selects the daemons that connect to the servers of a database group.
///
/// A server accepts a limited number of connections. With too many daemons for that limit, each
/// group is served by a few daemons, its homes, and the other daemons forward sessions to them.
/// The homes are computed from the announced daemons alone, so all daemons agree on them without
/// communication.
#pragma once

#include "gypsumstep/base/time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumstep::homes {

/// Assumed processor capacity of a daemon that announces none, in thousandths of a core: what a
/// daemon gets in the smaller deployments.
inline constexpr std::uint32_t default_capacity = 250;

/// Largest capacity that a daemon announces: a thousand cores, more than any VM has.
inline constexpr std::uint32_t max_capacity = 1'000'000;

/// The announcement of a daemon.
struct daemon_entry {
    std::string name;
    std::string domain; ///< failure domain
    std::string host;   ///< address that accepts forwarded sessions
    std::uint16_t port{0};
    std::uint32_t capacity{default_capacity}; ///< thousandths of a processor core

    friend auto operator<=>(const daemon_entry&, const daemon_entry&) = default;
};

/// A row of the store that announces a daemon.
struct announcement {
    daemon_entry daemon;
    std::chrono::milliseconds announced_at{0}; ///< by the store's clock

    friend auto operator<=>(const announcement&, const announcement&) = default;
};

/// A daemon whose announcement is older than this counts as ended. Long enough that one renewal may
/// be lost.
inline constexpr std::chrono::milliseconds announcement_lifetime{90'000};

/// Whether the announced daemon counts as ended at \p now, by the store's clock.
[[nodiscard]] constexpr bool is_expired(const announcement& value, std::chrono::milliseconds now)
{
    return value.announced_at < now - announcement_lifetime;
}

/// A client account, and its expected share of the traffic of all accounts.
struct account_traffic {
    std::string name; ///< empty for none
    double share{0.0};

    friend bool operator==(const account_traffic&, const account_traffic&) = default;
};

/// Selects homes by weighted rendezvous hashing.
class home_table {
public:
    /// Connections that a home needs to one server, so that its sessions do not wait for a
    /// connection that another session uses.
    static constexpr std::uint32_t connections_per_home = 4;

    /// Maximum connections of a home to one server. More would not help: a home runs fewer
    /// statements than this at a time, and the remaining connections hold transactions that are
    /// idle while their clients pause.
    static constexpr std::uint32_t max_connections_per_home = 8;

    /// Target number of homes of a group over all failure domains. Enough to tolerate the loss
    /// of some, and few enough that each uses a share of the servers' slots that is large enough
    /// to order statements by priority.
    static constexpr std::size_t target_homes = 6;

    /// Minimum connections that a daemon needs to one server. If the servers accept this many
    /// from each daemon, and there are at most \c max_direct_daemons, no session is forwarded.
    static constexpr std::uint32_t min_connections = 2;

    /// Maximum number of daemons that connect to one group directly, whatever the connection
    /// limit. Each runs a few statements at a time, so more daemons together would only lengthen
    /// the servers' queues.
    static constexpr std::size_t max_direct_daemons = 24;

    /// How long a daemon that failed to accept a session is tried last. A daemon that
    /// terminated stays announced for longer, and trying it delays the start of a session.
    static constexpr duration failure_backoff = 5s;

    /// \param self this daemon's name
    /// \param domain failure domain of this daemon
    /// \param regions region of each failure domain
    home_table(std::string self, std::string domain,
               std::map<std::string, std::string, std::less<>> regions);

    /// Replaces the announced daemons. This daemon is always included.
    void set_daemons(std::vector<daemon_entry> daemons);

    [[nodiscard]] const std::vector<daemon_entry>& daemons() const { return m_daemons; }
    [[nodiscard]] const std::string& self() const { return m_self; }

    /// Returns the homes of a group whose servers accept \p max_connections connections each
    /// (0 for no limit), or all daemons if the servers can serve all of them.
    /// The reference is valid until the daemons change. The homes of each group are selected only
    /// once for a list of daemons.
    [[nodiscard]] const std::vector<daemon_entry>& homes_of(std::string_view service,
                                                            std::uint32_t max_connections) const;

    /// Returns how many connections to one server a home of the group may use: its share of the
    /// connections that the server accepts.
    [[nodiscard]] std::uint32_t connection_share(std::string_view service,
                                                 std::uint32_t max_connections) const;

    /// Returns true if this daemon is a home of the group.
    [[nodiscard]] bool is_home(std::string_view service, std::uint32_t max_connections) const;

    /// Returns the homes in the order in which a session tries them: nearer ones first, and
    /// equally near ones in an order that depends on \p session_number, so that sessions are
    /// spread. Daemons that failed within \c failure_backoff come last.
    [[nodiscard]] std::vector<daemon_entry> forwarding_order(std::string_view service,
                                                             std::uint32_t max_connections,
                                                             std::uint64_t session_number,
                                                             time_point now) const;

    /// Returns the homes in the order in which a session of an account tries them, this daemon
    /// included if it is one. The sessions of an account meet at one home of the region, so that
    /// they share their account's server connections; those of an account with a large share of
    /// the traffic are spread over all homes of the region. Without an account, near homes come
    /// first. Homes in other regions come last, but before daemons that failed recently.
    [[nodiscard]] std::vector<daemon_entry> account_order(std::string_view service,
                                                          std::uint32_t max_connections,
                                                          const account_traffic& account,
                                                          std::uint64_t session_number,
                                                          time_point now) const;

    /// Returns true if this daemon is the first choice for a session of the account.
    [[nodiscard]] bool serves_account(std::string_view service, std::uint32_t max_connections,
                                      const account_traffic& account, time_point now) const;

    /// Records that a daemon failed to accept a session.
    void mark_failed(const std::string& daemon, time_point now);

    /// Records that a daemon accepted a session.
    void mark_reachable(const std::string& daemon);

private:
    /// The homes of a group, and the connection limit for which they were selected.
    struct selection {
        std::uint32_t max_connections{0};
        std::vector<daemon_entry> homes;
    };

    [[nodiscard]] std::vector<daemon_entry> select_homes(std::string_view service,
                                                         std::uint32_t max_connections) const;
    [[nodiscard]] bool is_concentrated(const account_traffic& account,
                                       const std::vector<daemon_entry>& homes,
                                       std::uint32_t max_connections) const;
    [[nodiscard]] bool is_failing(const std::string& daemon, time_point now) const;
    [[nodiscard]] int distance_to(const std::string& domain) const;

    std::string m_self;
    std::string m_domain;
    std::map<std::string, std::string, std::less<>> m_regions;
    std::vector<daemon_entry> m_daemons;
    std::map<std::string, std::vector<std::size_t>, std::less<>>
        m_by_domain;                                                    ///< places in m_daemons
    mutable std::map<std::string, selection, std::less<>> m_selections; ///< cache, by group
    std::map<std::string, time_point, std::less<>> m_failed;
};

} // namespace gypsumstep::homes
