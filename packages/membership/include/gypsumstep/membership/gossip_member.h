/// \file
/// One daemon's part in the gossip between daemons.
///
/// A SWIM protocol: members probe each other, suspect whom they cannot reach,
/// and spread records and payloads on the probes. It differs from the original
/// in four ways. Only members of the same failure domain suspect each other;
/// probes into other domains tell whether the domain is cut off. A new rumour
/// is pushed to a few members at once. Probes carry a digest of what the sender
/// knows, and news follows only where digests differ. Probes wait while the byte
/// budget is spent.
///
/// No I/O and no clock: the shell calls step() and carries out the actions.
#pragma once

#include "gypsumstep/base/random.h"
#include "gypsumstep/membership/detail/byte_budget.h"
#include "gypsumstep/membership/detail/link_monitor.h"
#include "gypsumstep/membership/detail/member_table.h"
#include "gypsumstep/membership/detail/payload_store.h"
#include "gypsumstep/membership/detail/rumour_queue.h"
#include "gypsumstep/membership/message.h"
#include "gypsumstep/membership/settings.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace gypsumstep::membership {

/// The time has come that next_wakeup() named.
struct tick {
    friend bool operator==(const tick&, const tick&) = default;
};

/// A datagram arrived from another daemon's gossip port.
struct message_received {
    endpoint from;
    message content;

    friend bool operator==(const message_received&, const message_received&) = default;
};

/// This daemon has a payload for all daemons.
struct publish {
    payload value;

    friend bool operator==(const publish&, const publish&) = default;
};

/// This daemon is shutting down.
struct leave {
    friend bool operator==(const leave&, const leave&) = default;
};

/// Addresses of daemons from the settings or from the platform's list.
struct seeds_listed {
    std::vector<endpoint> seeds;

    friend bool operator==(const seeds_listed&, const seeds_listed&) = default;
};

using event = std::variant<tick, message_received, publish, leave, seeds_listed>;

/// Send a datagram.
struct send_message {
    endpoint to;
    message content;

    friend bool operator==(const send_message&, const send_message&) = default;
};

/// Another member's record has changed.
struct member_changed {
    member_record record;

    friend bool operator==(const member_changed&, const member_changed&) = default;
};

/// A payload arrived that was not known here. Not reported for own payloads.
struct payload_received {
    payload value;

    friend bool operator==(const payload_received&, const payload_received&) = default;
};

/// A failure domain was cut off from this daemon, or answers again.
///
/// For the daemon's own domain: whether any other daemon answers at all.
struct domain_changed {
    domain_id domain;
    bool reachable{true};

    friend bool operator==(const domain_changed&, const domain_changed&) = default;
};

/// The snapshot of a joining daemon has come to this stage.
struct snapshot_progressed {
    snapshot_stage stage{snapshot_stage::own_domain};

    friend bool operator==(const snapshot_progressed&, const snapshot_progressed&) = default;
};

using action = std::variant<send_message, member_changed, payload_received, domain_changed,
                            snapshot_progressed>;
using actions = std::vector<action>;

/// A member as this daemon sees it.
struct member_view {
    member_record record;
    bool reachable{true}; ///< false: its failure domain is cut off from this daemon

    friend bool operator==(const member_view&, const member_view&) = default;
};

/// What was sent and received, with datagram headers.
struct traffic {
    std::uint64_t messages_in{0};
    std::uint64_t messages_out{0};
    std::uint64_t bytes_in{0};
    std::uint64_t bytes_out{0};

    friend bool operator==(const traffic&, const traffic&) = default;
};

/// The decision core of one daemon's membership.
class gossip_member {
public:
    /// \param self this daemon; a restarted one should start at a higher incarnation
    /// \param seeds addresses to join through; own address and duplicates are allowed
    gossip_member(const gossip_settings& settings, const member_record& self,
                  std::vector<endpoint> seeds, random_source random);

    /// Takes one event and returns what the shell has to do, in order.
    [[nodiscard]] actions step(const event& input, time_point now);

    /// When the next tick is due.
    [[nodiscard]] time_point next_wakeup() const;

    /// This daemon's own record.
    [[nodiscard]] const member_record& self() const { return m_self; }

    /// All members known, this daemon and departed ones included, by address.
    [[nodiscard]] std::vector<member_view> members() const;

    /// One member, if it is known.
    [[nodiscard]] std::optional<member_view> find(const endpoint& address) const;

    /// False if the failure domain is cut off from this daemon.
    [[nodiscard]] bool is_reachable(domain_id domain) const { return !m_links.is_cut(domain); }

    /// The newest payload of a key that is kept, if there is one.
    [[nodiscard]] std::optional<payload> latest(const std::string& key) const;

    /// Equal at two daemons that know the same members and kept payloads.
    [[nodiscard]] std::uint32_t digest() const;

    /// Totals since the start.
    [[nodiscard]] const traffic& counters() const { return m_counters; }

private:
    struct probe {
        std::uint32_t sequence{0};
        endpoint target;
        domain_id domain;
        time_point sent;
        bool indirect{false};
        bool repeated{false}; ///< the probe before it failed as well
    };

    struct relay {
        std::uint32_t sequence{0};
        endpoint requester;
        std::uint32_t requested_sequence{0};
        time_point expires;
    };

    struct suspicion {
        time_point since;
        time_point deadline;
    };

    struct snapshot_fetch {
        snapshot_cursor cursor;
        std::optional<endpoint> peer;
        time_point next_request;
        bool waiting{false};
    };

    gossip_settings m_settings;
    member_record m_self;
    std::vector<endpoint> m_seeds;
    random_source m_random;
    detail::member_table m_table;
    detail::payload_store m_payloads;
    detail::rumour_queue m_queue;
    detail::link_monitor m_links;
    detail::byte_budget m_budget;
    detail::byte_budget m_snapshot_budget;
    traffic m_counters;
    actions m_actions;
    bool m_started{false};
    std::uint32_t m_sequence{0};
    std::uint64_t m_probe_count{0};
    std::vector<probe> m_probes;
    std::vector<relay> m_relays;
    std::map<endpoint, suspicion> m_suspicions;
    std::map<domain_id, time_point> m_link_alerts;
    std::optional<snapshot_fetch> m_fetch;
    time_point m_next_probe{};
    time_point m_next_cleanup{};
    std::optional<time_point> m_push_at;
    time_point m_table_changed{};
    time_point m_next_sync{};
    std::uint32_t m_mismatches{0};

    // Events (gossip_member.cpp)
    void start(time_point now);
    void handle(const tick& input, time_point now);
    void handle(const message_received& input, time_point now);
    void handle(const publish& input, time_point now);
    void handle(const leave& input, time_point now);
    void handle(const seeds_listed& input, time_point now);
    void learn(const rumours& news, time_point now);
    void learn(const member_record& record, time_point now);
    void learn(const payload& value, time_point now);
    void refute(const member_record& record, time_point now);
    void spread(const rumour& news, time_point now);
    void push_fresh(time_point now);
    void note_heard(const endpoint& from, time_point now);
    void send(const endpoint& to, const message& content);
    [[nodiscard]] rumours take_news(detail::rumour_queue::selection wanted);
    [[nodiscard]] std::uint32_t transmissions() const;

    // Probes and suspicions (gossip_probe.cpp)
    void start_next_probe(time_point now);
    void start_probe(const endpoint& target, bool repeated, time_point now);
    [[nodiscard]] std::optional<endpoint> choose_target();
    [[nodiscard]] std::optional<endpoint> choose_foreign_target();
    void advance_probes(time_point now);
    void ask_others_to_probe(const probe& pending);
    void conclude_failed(const probe& failed, time_point now);
    void report_link(domain_id domain, bool reachable, time_point now);
    void receive_link_alert(const payload& alert, time_point now);
    void suspect(const endpoint& target, time_point now);
    void expire_suspicions(time_point now);
    void receive(const endpoint& from, const ping& content, time_point now);
    void receive(const endpoint& from, const ack& content, time_point now);
    void receive(const endpoint& from, const ping_request& content, time_point now);
    void receive(const endpoint& from, const indirect_ack& content, time_point now);
    void receive(const endpoint& from, const gossip& content, time_point now);

    // Snapshots and repair of lost rumours (gossip_sync.cpp)
    void advance_fetch(time_point now);
    [[nodiscard]] std::optional<endpoint> choose_snapshot_peer();
    void compare_digest(const endpoint& from, std::uint32_t theirs, time_point now);
    void receive(const endpoint& from, const snapshot_request& content, time_point now);
    void receive(const endpoint& from, const snapshot_chunk& content, time_point now);
    void receive(const endpoint& from, const sync_request& content, time_point now);
};

} // namespace gypsumstep::membership
