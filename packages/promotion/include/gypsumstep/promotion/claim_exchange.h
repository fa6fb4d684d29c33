/// \file
/// Makes a change of primary safe where the platform does not stop the old primary.
#pragma once

#include "gypsumstep/base/random.h"
#include "gypsumstep/base/time.h"
#include "gypsumstep/promotion/peer_message.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumstep::promotion {

/// A message to another daemon.
struct outgoing_message {
    std::string receiver;
    peer_message content;

    friend bool operator==(const outgoing_message&, const outgoing_message&) = default;
};

/// What a completed hand-over found out.
struct hand_over_result {
    std::optional<log_position> position; ///< newest log entry of the old primary, if it is known

    friend bool operator==(const hand_over_result&, const hand_over_result&) = default;
};

/// Keeps the newest claim on each group and decides which server this daemon may use as primary,
/// and when.
///
/// An old primary that its replacement cannot reach goes on taking writes. So before a promotion
/// is ordered, nobody may use the old primary any more. Three rules ensure this:
///
/// - Once there is a claim on a group, only its target may be used as the primary. A claim with
///   an empty target allows none.
/// - A daemon uses the primary of a group only while it holds a permit. It holds one while, within
///   permit_lifetime, it knew all claims that the store had, from the store itself or through other
///   daemons, or while most homes of the group answered it, which keeps writes possible while
///   the store is away.
/// - A claimant asks all other daemons to confirm that they follow its claim. It is done once all
///   have confirmed, or once the old primary has told one of them that it takes no more writes.
///   Otherwise it waits until most homes cannot be without the claim, and then until the permits
///   of silent daemons have run out.
///
/// All times must come from a clock that also advances while the VM is suspended.
class claim_exchange {
public:
    /// How long a daemon may use primaries on what it knows.
    static constexpr duration permit_lifetime = 2s;

    /// How long a hand-over waits for daemons that do not confirm: until their permits have run
    /// out, and what they sent last has arrived.
    static constexpr duration release_timeout = permit_lifetime + 300ms;

    /// A daemon learned of the store's era, at its start or because the store went back to a copy
    /// of its contents. Claims that the store lost are there again after this time at the latest:
    /// coordinator::claims_restored_after, and the time until the last daemon notices.
    static constexpr duration claims_settle_time = 3s;

    /// Interval between questions to the daemon that reads the store for the others.
    static constexpr duration ask_interval = 300ms;

    /// Age of its knowledge at which a daemon asks the next such daemon, too.
    static constexpr duration second_ask_age = 850ms;

    /// Interval between questions to a home of a group while the store's claims are not known.
    static constexpr duration home_ask_interval = 600ms;

    /// The same while only the homes' answers allow to use a primary: short, since the daemon
    /// serves no writes until most of a group's homes have answered.
    static constexpr duration unsettled_ask_interval = 200ms;

    /// Interval between questions to a daemon that has not confirmed a claim yet.
    static constexpr duration release_ask_interval = 60ms;

    /// Age of its knowledge at which a daemon reads the claims from the store: the first daemon in
    /// the common order, the second one, and the others, who need to only if these two are lost.
    static constexpr duration first_read_age = 500ms;
    static constexpr duration second_read_age = 900ms;
    static constexpr duration last_read_age = 1200ms;

    /// Age of its knowledge at which a daemon asks the homes of the groups that it follows.
    static constexpr duration home_ask_age = 1s;

    claim_exchange(std::string daemon, std::uint64_t seed);

    /// Replaces the list of all daemons, this one included, in an order on which all agree.
    void set_daemons(std::vector<std::string> daemons) { m_daemons = std::move(daemons); }

    /// Replaces the homes of a group.
    void set_homes(const std::string& service, std::vector<std::string> homes);

    /// Declares that this daemon uses the primary of a group.
    void follow(const std::string& service);

    /// Records that this daemon has learned of an era of the store, the first one or a later one.
    /// The store may lack the newest claims, so for claims_settle_time reading it proves nothing,
    /// and only the homes' answers allow to use a primary. Ends all hand-overs.
    void on_store_era(std::uint64_t era, time_point now);

    /// Records all claims that the store had when it was asked at \p asked_at.
    void on_claims_read(const std::vector<claim_notice>& claims, time_point asked_at);

    /// Records a claim that this daemon wrote.
    void learn(const claim_notice& notice);

    /// Returns the newest claim, or nullptr if none is known.
    [[nodiscard]] const claim_notice* newest(std::string_view service) const;

    /// Whether the newest claim allows that \p server leads the group.
    [[nodiscard]] bool allows(std::string_view service, std::string_view server) const;

    /// Whether this daemon may use the primary of the group at present.
    [[nodiscard]] bool is_permitted(std::string_view service, time_point now) const;

    /// Whether the claims have to be read from the store. A daemon that uses no primary reads them
    /// only for others that ask it.
    [[nodiscard]] bool needs_store_read(time_point now) const;

    /// Records that this daemon uses no server that the claim \c notice.token does not allow.
    void release(release_notice notice);

    /// Returns the groups whose newest claim still waits for release().
    [[nodiscard]] std::vector<std::string> unreleased() const;

    /// Starts to collect the confirmations for a claim of this daemon.
    /// \param former the server that led before the claim; empty if none is known
    void begin_hand_over(const std::string& service, std::string former, time_point now);

    /// Returns the result once no daemon uses the former primary any more, and ends the
    /// hand-over.
    [[nodiscard]] std::optional<hand_over_result> finish_hand_over(const std::string& service,
                                                                   time_point now);

    void on_message(const peer_message& message, time_point now);

    /// Sends due questions. Must be called every few tens of milliseconds.
    void on_tick(time_point now);

    /// Returns the messages to send and clears them. Answers tell the state at this moment.
    [[nodiscard]] std::vector<outgoing_message> take_messages(time_point now);

private:
    using name_set = std::set<std::string, std::less<>>;

    /// Collects the confirmations for one claim.
    struct hand_over {
        std::uint64_t token{0};
        std::string former;
        time_point next_ask_at{};
        name_set pending; ///< daemons that did not confirm
        name_set confirmed;
        std::optional<time_point> majority_at; ///< when most homes could not be without the claim
        bool former_demoted{false};
        std::optional<log_position> position;
    };

    [[nodiscard]] bool has_majority(std::string_view service, time_point now) const;
    [[nodiscard]] const std::vector<std::string>& homes_of(std::string_view service) const;
    [[nodiscard]] bool is_listed(std::string_view daemon) const;
    [[nodiscard]] std::optional<duration> age(time_point now) const;
    void ask(const std::string& daemon, time_point now);
    void ask_reader(time_point now);
    void ask_homes(time_point now);
    void on_answer(const peer_message& answer, time_point asked_at);
    void on_confirmation(const std::string& sender, const release_notice& notice);
    void check_majority(const std::string& service, hand_over& running, time_point now) const;
    [[nodiscard]] std::vector<std::string> recent_guests(time_point now);
    [[nodiscard]] peer_message answer_to(const peer_message& question, time_point now);

    std::string m_daemon;
    random_source m_random;
    std::vector<std::string> m_daemons;
    std::map<std::string, std::vector<std::string>, std::less<>> m_homes;
    name_set m_followed;
    std::map<std::string, claim_notice, std::less<>> m_claims;
    std::map<std::string, release_notice, std::less<>> m_releases;
    std::map<std::string, hand_over, std::less<>> m_hand_overs;
    std::optional<time_point> m_known_until; ///< all claims that the store had then are known
    std::uint64_t m_store_era{0};
    std::optional<time_point> m_settles_at; ///< readings asked for before prove nothing
    std::optional<time_point> m_read_at;    ///< when the newest reading of the store was asked for
    std::map<std::string, time_point, std::less<>> m_contacts; ///< when answered daemons were asked
    std::map<std::string, time_point, std::less<>> m_home_questions; ///< when homes were asked last
    std::map<std::uint64_t, time_point> m_questions;         ///< unanswered: when they were asked
    std::map<std::string, time_point, std::less<>> m_guests; ///< when they asked last
    std::optional<time_point> m_last_asked_at;               ///< by another daemon
    std::uint64_t m_next_number{1};
    time_point m_next_ask_at{};
    std::vector<outgoing_message> m_messages;
    std::vector<peer_message> m_unanswered; ///< questions of other daemons
};

} // namespace gypsumstep::promotion
