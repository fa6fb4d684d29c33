/// \file
/// Keeps one daemon at the newest version of the configuration. Pure.
#pragma once

#include "gypsumstep/base/random.h"
#include "gypsumstep/base/time.h"
#include "gypsumstep/config/messages.h"
#include "gypsumstep/config/records.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace gypsumstep::config {

/// A live daemon and where it is.
struct member {
    daemon_id id;
    domain_id failure_domain;

    friend bool operator==(const member&, const member&) = default;
};

/// Periods and bounds of a follower.
struct follower_options {
    duration poll_interval{1'000'000};       ///< of a poller's head reads
    duration backstop_interval{600'000'000}; ///< of everybody's head reads
    duration startup_interval{2'000'000};    ///< until the first version; doubles to 32 times
    duration announce_interval{1'000'000};
    duration request_timeout{5'000'000}; ///< after which a read counts as lost
    duration snapshot_interval{100'000}; ///< least time between snapshots sent
    std::size_t pollers_per_domain{2};   ///< at least 1
    std::size_t partners_in_domain{5};   ///< daemons of the own domain to exchange with
    std::size_t partners_elsewhere{3};   ///< daemons of other domains
    std::size_t fanout{4};               ///< partners that get a new change at once
    std::size_t log_limit{64};           ///< recent changes kept for peers
    std::size_t catch_up_limit{16};      ///< changes read singly before a whole document is

    friend bool operator==(const follower_options&, const follower_options&) = default;
};

/// Time has passed; to be given several times a second.
struct tick {};
/// A message of another daemon.
struct peer_message {
    daemon_id from;
    message content;
};
/// Answer to poll_head; nothing if there is no version yet.
struct head_answer {
    result<std::optional<head_record>> head;
};
/// Answer to fetch_change.
struct change_answer {
    result<change_record> change;
};
/// Answer to fetch_document.
struct document_answer {
    head_record head;
    result<document_ptr> document;
};
/// A submission of this daemon was accepted.
struct accepted_here {
    change_record change;
};
/// The live daemons changed; with or without the daemon itself.
struct members_changed {
    std::vector<member> members;
};

using follower_event = std::variant<tick, peer_message, head_answer, change_answer, document_answer,
                                    accepted_here, members_changed>;

/// Read head_key.
struct poll_head {};
/// Read the history row of a version.
struct fetch_change {
    config_version version;
};
/// Read the object of a head.
struct fetch_document {
    head_record head;
};
/// Send a message; it may be lost.
struct send_message {
    daemon_id to;
    message content;
};
/// Use this document from now on.
struct put_in_force {
    head_record head;
    document_ptr document;
};

using follower_action =
    std::variant<poll_head, fetch_change, fetch_document, send_message, put_in_force>;

/// What operators see of a daemon's configuration.
struct version_report {
    config_version version; ///< in force here; 0: none yet
    std::string patch_id;
    std::optional<duration> confirmed_age; ///< since it was known to be the newest
    bool is_poller{false};
    bool diverged{false}; ///< the platform named an older version or another patch

    friend bool operator==(const version_report&, const version_report&) = default;
};

/// Learns versions from the platform and from peers, and hands them on.
///
/// A few pollers in each failure domain read the head often. A new change goes at
/// once to some partners, which do the same; announces between partners repair
/// what was lost; everybody reads the head now and then. The version in force
/// only grows.
class follower {
public:
    using actions = std::vector<follower_action>;

    follower(follower_options options, member self, random_source random);

    [[nodiscard]] actions step(const follower_event& event, time_point now);

    [[nodiscard]] version_report report(time_point now) const;
    /// The document in force; null before the first version.
    [[nodiscard]] const document_ptr& document() const { return m_document; }

private:
    /// At this moment, no newer version than this one was in force.
    struct confirmation {
        time_point at;
        config_version version;
    };

    void on(const tick& event, time_point now, actions& out);
    void on(const peer_message& event, time_point now, actions& out);
    void on(const head_answer& event, time_point now, actions& out);
    void on(const change_answer& event, time_point now, actions& out);
    void on(const document_answer& event, time_point now, actions& out);
    void on(const accepted_here& event, time_point now, actions& out);
    void on(const members_changed& event, time_point now, actions& out);

    void receive(daemon_id from, const announce& received, time_point now, actions& out);
    void receive(daemon_id from, const status& received, time_point now, actions& out);
    void receive(daemon_id from, const deltas& received, time_point now, actions& out);
    void receive(daemon_id from, const snapshot& received, time_point now, actions& out);

    void catch_up(const head_record& head, time_point now, actions& out);
    void offer(const change_record& change);
    void adopt_offered(time_point now, actions& out);
    void adopt_document(const head_record& head, const document_ptr& document, time_point now,
                        actions& out);
    void bring_up_to_date(daemon_id peer, config_version version, time_point now, actions& out);
    void tell_partners(const message& content, actions& out);
    void note(confirmation seen);
    void choose_partners(const std::vector<member>& members);
    void choose_role(const std::vector<member>& members);
    [[nodiscard]] duration jittered(duration interval);
    [[nodiscard]] duration head_interval() const;
    [[nodiscard]] announce next_announce(time_point now);

    follower_options m_options;
    member m_self;
    random_source m_random;

    head_record m_head; ///< in force; version 0: none
    document_ptr m_document;
    std::deque<change_record> m_log; ///< up to the version in force, without gaps
    std::map<config_version, change_record> m_offered;
    std::optional<confirmation> m_confirmed; ///< of the version in force
    std::optional<confirmation> m_seen;      ///< the newest, perhaps of a later version
    bool m_diverged{false};

    bool m_is_poller{false};
    std::vector<member> m_partners; ///< in random order
    std::size_t m_partner_index{0}; ///< whom the last announce went to

    std::optional<time_point> m_next_poll;
    std::optional<time_point> m_next_announce;
    std::optional<time_point> m_poll_sent; ///< while a head read is open
    config_version m_polled_version;       ///< in force when it was sent
    std::uint32_t m_startup_polls{0};
    std::optional<time_point> m_fetch_sent;
    bool m_chain_broken{false}; ///< a change did not apply
    time_point m_snapshot_after{};
    std::uint64_t m_sequence{0};
    std::map<std::uint64_t, time_point> m_announced; ///< the last few
};

} // namespace gypsumstep::config
