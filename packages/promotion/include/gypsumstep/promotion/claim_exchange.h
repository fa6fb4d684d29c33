/// \file
/// Makes a change of primary safe where the platform does not stop the old primary.
#pragma once

#include "gypsumstep/base/random.h"
#include "gypsumstep/base/time.h"
#include "gypsumstep/promotion/claim.h"
#include "gypsumstep/promotion/peer_message.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumstep::promotion {

/// A daemon that takes part in the exchange.
struct peer {
    std::string name;
    bool is_near{false}; ///< in the same failure domain

    friend bool operator==(const peer&, const peer&) = default;
};

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
/// - A daemon uses primaries only while it holds a permit: within permit_lifetime, the store or
///   another daemon must have answered its question for newer claims.
/// - A claimant asks all other daemons to confirm that they follow its claim, and waits for those
///   that do not answer until their permits have run out, unless the old primary itself has
///   confirmed to one of the daemons that it takes no more writes.
///
/// All times must come from a clock that also advances while the VM is suspended.
class claim_exchange {
public:
    /// How long a daemon may use primaries after it asked for newer claims and was answered.
    static constexpr duration permit_lifetime = 2s;

    /// How long a hand-over waits for daemons that do not confirm: until their permits have run
    /// out, and what they sent last has arrived.
    static constexpr duration release_timeout = permit_lifetime + 300ms;

    /// Interval between questions to other daemons. Several may be lost before a permit runs out.
    static constexpr duration ask_interval = 400ms;

    /// Interval between questions to a daemon that has not confirmed a claim yet.
    static constexpr duration release_ask_interval = 60ms;

    /// A daemon that got no answer for this long reads the claims from the store.
    static constexpr duration store_read_interval = 1s;

    claim_exchange(std::string daemon, std::uint64_t seed);

    /// Replaces the other daemons.
    void set_daemons(std::vector<peer> daemons) { m_daemons = std::move(daemons); }

    /// Includes a group in the questions to other daemons.
    void follow(const std::string& service);

    /// Records the newest claim that the store had when it was asked at \p asked_at.
    void on_store_read(const std::string& service, const std::optional<claim>& newest,
                       time_point asked_at);

    /// Records a claim that this daemon wrote.
    void learn(const claim_notice& notice);

    /// Returns the newest claim, or nullptr if none is known.
    [[nodiscard]] const claim_notice* newest(std::string_view service) const;

    /// Whether the newest claim allows that \p server leads the group.
    [[nodiscard]] bool allows(std::string_view service, std::string_view server) const;

    /// Whether this daemon may use the primary of the group at present.
    [[nodiscard]] bool is_permitted(std::string_view service, time_point now) const;

    /// Whether the claims on the group have to be read from the store.
    [[nodiscard]] bool needs_store_read(std::string_view service, time_point now) const;

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
    /// Collects the confirmations for one claim.
    struct hand_over {
        std::uint64_t token{0};
        std::string former;
        time_point started_at{};
        time_point next_ask_at{};
        std::set<std::string, std::less<>> pending; ///< daemons that did not confirm
        std::set<std::string, std::less<>> confirmed;
        bool former_demoted{false};
        std::optional<log_position> position;
    };

    [[nodiscard]] std::optional<time_point> last_answer(std::string_view service) const;
    [[nodiscard]] bool is_listed(std::string_view daemon) const;
    void ask(const std::string& daemon, time_point now);
    void on_confirmation(const std::string& sender, const release_notice& notice);
    [[nodiscard]] peer_message answer_to(const peer_message& question, time_point now);

    std::string m_daemon;
    random_source m_random;
    std::vector<peer> m_daemons;
    std::set<std::string, std::less<>> m_followed;
    std::map<std::string, claim_notice, std::less<>> m_claims;
    std::map<std::string, release_notice, std::less<>> m_releases;
    std::map<std::string, hand_over, std::less<>> m_hand_overs;
    std::map<std::string, time_point, std::less<>> m_store_reads; ///< when the store was asked
    std::optional<time_point> m_last_contact;        ///< when a daemon that answered was asked
    std::map<std::uint64_t, time_point> m_questions; ///< unanswered: when they were asked
    std::map<std::string, time_point, std::less<>> m_guests; ///< when they asked last
    std::uint64_t m_next_number{1};
    time_point m_next_ask_at{};
    std::vector<outgoing_message> m_messages;
    std::vector<peer_message> m_unanswered; ///< questions of other daemons
};

} // namespace gypsumstep::promotion
