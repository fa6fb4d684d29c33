/// \file
/// State machine that keeps one daemon at the newest version of the configuration.
/// Does no I/O.
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

/// A live daemon and its failure domain.
struct member {
    daemon_id id;
    domain_id failure_domain;

    friend bool operator==(const member&, const member&) = default;
};

/// Intervals and limits of a follower.
struct follower_options {
    duration poll_interval{1'000'000};            ///< between a poller's head reads
    duration fallback_poll_interval{600'000'000}; ///< between head reads of other daemons
    /// Between head reads before the first version; doubles at each, up to 32 times this value.
    duration startup_poll_interval{2'000'000};
    duration announce_interval{1'000'000};
    duration request_timeout{5'000'000};      ///< after this, a read counts as lost
    duration snapshot_interval{100'000};      ///< minimum time between snapshots sent
    std::size_t pollers_per_domain{2};        ///< at least 1
    std::size_t partners_in_domain{5};        ///< partners in the own failure domain
    std::size_t partners_in_other_domains{3}; ///< partners in other failure domains
    std::size_t fanout{4};                    ///< partners that a new change is sent to at once
    std::size_t log_limit{64};                ///< number of recent changes kept for peers
    std::size_t catch_up_limit{16}; ///< above this many missing changes, read the whole document

    friend bool operator==(const follower_options&, const follower_options&) = default;
};

/// Time has passed; the caller sends one several times a second.
struct tick {};
/// A message from another daemon.
struct peer_message {
    daemon_id from;
    message content;
};
/// Answer to poll_head; nullopt if there is no version yet.
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
/// A submission through this daemon was accepted.
struct accepted_locally {
    change_record change;
};
/// The set of live daemons changed. It may or may not contain this daemon.
struct members_changed {
    std::vector<member> members;
};

using follower_event = std::variant<tick, peer_message, head_answer, change_answer, document_answer,
                                    accepted_locally, members_changed>;

/// Read the row head_key.
struct poll_head {};
/// Read the history row of a version.
struct fetch_change {
    config_version version;
};
/// Read the object that a head names.
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

/// A daemon's configuration version, as reported to operators.
struct version_report {
    config_version version; ///< version in force here; 0: none yet
    std::string patch_id;
    std::optional<duration> confirmed_age; ///< time since the version was known to be the newest
    bool is_poller{false};
    bool diverged{false}; ///< the platform returned an older version or another patch

    friend bool operator==(const version_report&, const version_report&) = default;
};

/// Receives versions from the platform and from peers, and forwards them.
///
/// A few pollers in each failure domain read the head often. A new change is sent at
/// once to some partners, which forward it in turn. Announces between partners
/// replace lost messages, and every daemon also reads the head at a long interval.
/// The version in force never decreases.
class follower {
public:
    using actions = std::vector<follower_action>;

    follower(follower_options options, member self, random_source random);

    /// Handles an event and returns the actions that the caller must run.
    [[nodiscard]] actions step(const follower_event& event, time_point now);

    [[nodiscard]] version_report report(time_point now) const;
    /// The document in force; null before the first version.
    [[nodiscard]] const document_ptr& document() const { return m_document; }

private:
    /// A time at which \c version was known to be the newest.
    struct confirmation {
        time_point at;
        config_version version;
    };

    void handle(const tick& event, time_point now, actions& out);
    void handle(const peer_message& event, time_point now, actions& out);
    void handle(const head_answer& event, time_point now, actions& out);
    void handle(const change_answer& event, time_point now, actions& out);
    void handle(const document_answer& event, time_point now, actions& out);
    void handle(const accepted_locally& event, time_point now, actions& out);
    void handle(const members_changed& event, time_point now, actions& out);

    void receive(daemon_id from, const announce& received, time_point now, actions& out);
    void receive(daemon_id from, const status& received, time_point now, actions& out);
    void receive(daemon_id from, const deltas& received, time_point now, actions& out);
    void receive(daemon_id from, const snapshot& received, time_point now, actions& out);

    void catch_up(const head_record& head, time_point now, actions& out);
    void add_pending(const change_record& change);
    void apply_pending(time_point now, actions& out);
    void adopt_document(const head_record& head, const document_ptr& document, time_point now,
                        actions& out);
    void send_missing_changes(daemon_id peer, config_version version, time_point now, actions& out);
    void send_to_partners(const message& content, actions& out);
    void record_confirmation(confirmation confirmed);
    void choose_partners(const std::vector<member>& members);
    void choose_role(const std::vector<member>& members);
    [[nodiscard]] duration jittered(duration interval);
    [[nodiscard]] duration head_interval() const;
    [[nodiscard]] announce next_announce(time_point now);

    follower_options m_options;
    member m_self;
    random_source m_random;

    head_record m_head; ///< head in force; version 0: none
    document_ptr m_document;
    std::deque<change_record> m_log; ///< recent changes up to the version in force, without gaps
    std::map<config_version, change_record> m_pending; ///< changes not applied yet
    std::optional<confirmation> m_confirmed; ///< newest confirmation of the version in force
    /// Newest confirmation of a version that is not in force here yet.
    std::optional<confirmation> m_later_confirmation;
    bool m_diverged{false};

    bool m_is_poller{false};
    std::vector<member> m_partners; ///< in random order
    std::size_t m_partner_index{0}; ///< partner that the last announce went to

    std::optional<time_point> m_next_poll;
    std::optional<time_point> m_next_announce;
    std::optional<time_point> m_poll_sent; ///< set while a head read is open
    config_version m_polled_version;       ///< version in force when the head read was sent
    std::uint32_t m_startup_polls{0};
    std::optional<time_point> m_fetch_sent;
    bool m_needs_document{false}; ///< a change did not apply; needs the whole document
    time_point m_snapshot_after{};
    std::uint64_t m_sequence{0};
    /// Send times of the latest announces, by sequence number.
    std::map<std::uint64_t, time_point> m_announce_times;
};

} // namespace gypsumstep::config
