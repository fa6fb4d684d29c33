/// \file
/// Decides when the primary of a database group is replaced, and by which replica.
#pragma once

#include "gypsumstep/base/random.h"
#include "gypsumstep/base/time.h"
#include "gypsumstep/promotion/claim.h"
#include "gypsumstep/statement/server_command.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace gypsumstep::promotion {

/// What this daemon believes of the group.
struct group_state {
    std::optional<std::string> primary; ///< instance id of the server that leads
    bool primary_draining{false};       ///< it announced its shutdown
    duration primary_failing_for{0};    ///< how long it has not answered this daemon
    std::vector<std::string> replicas;  ///< ready replicas
    std::uint32_t sync_replicas{0};

    friend bool operator==(const group_state&, const group_state&) = default;
};

/// Reads the rows that the daemons share about the group.
struct read_shared_state {
    friend bool operator==(const read_shared_state&, const read_shared_state&) = default;
};

/// Reports that this daemon cannot reach the primary.
struct report_suspicion {
    std::string primary;

    friend bool operator==(const report_suspicion&, const report_suspicion&) = default;
};

/// Asks the replicas for their log positions.
struct survey_replicas {
    std::vector<std::string> servers;
    bool pause{false};                 ///< also stops them from receiving
    std::optional<std::string> demote; ///< primary that stops taking writes first

    friend bool operator==(const survey_replicas&, const survey_replicas&) = default;
};

/// Writes the claim's row if it still has the expected version.
struct write_claim {
    claim next;
    std::uint64_t expected_version{0};

    friend bool operator==(const write_claim&, const write_claim&) = default;
};

/// Orders the platform to make a server the primary.
struct order_promotion {
    std::string target;
    std::uint64_t token{0};

    friend bool operator==(const order_promotion&, const order_promotion&) = default;
};

using action = std::variant<read_shared_state, report_suspicion, survey_replicas, write_claim,
                            order_promotion>;

/// How a call ended.
enum class call_outcome : std::uint8_t {
    done,
    conflict, ///< another daemon was first, or the server cannot lead
    failed,   ///< no answer or an error; it may still take effect
};

/// A replica's answer to a survey; no status if it gave none.
struct survey_answer {
    std::string server;
    std::optional<statement::server_status> status;
};

/// Runs the promotion of one group, as far as this daemon takes part in it.
///
/// Each daemon has a coordinator for each group. The claim in the store lets one of them
/// order at a time; a claim is not taken over before claim_lease has passed, and every
/// order has a token that is higher than all earlier ones, so that a delayed order of a
/// former holder is refused by the platform.
class coordinator {
public:
    /// A claim of another daemon is respected this long.
    static constexpr store_time claim_lease{3000};

    /// A primary that does not answer for this long is suspected. Longer than a lost
    /// packet's retransmission, shorter than a promotion.
    static constexpr duration suspicion_delay = 700ms;

    /// Least number of daemons that must suspect a primary whose registration is known.
    /// Of more than four daemons it takes half: where a partition left the primary with
    /// most of them, a promotion would take it away from more clients than it helps.
    static constexpr std::size_t min_suspicion_quorum = 2;

    /// Reports older than this do not count.
    static constexpr store_time suspicion_lifetime{4000};

    coordinator(std::string daemon, std::uint64_t seed);

    /// Takes note of the group and starts or ends a promotion; called often.
    void update(const group_state& group, time_point now);

    void on_shared_state(const std::optional<shared_state>& state, time_point now);
    void on_suspicion_written(call_outcome outcome, time_point now);
    void on_survey(const std::vector<survey_answer>& answers, time_point now);
    void on_claim_written(call_outcome outcome, time_point now);
    void on_order(call_outcome outcome, time_point now);

    /// What has to be done now, in order.
    [[nodiscard]] std::vector<action> take_actions();

    /// True while a promotion is expected to give the group a primary soon.
    [[nodiscard]] bool in_progress() const { return m_step != step::idle; }

    /// Why a promotion is wanted, for logs; empty if none is.
    [[nodiscard]] const std::string& reason() const { return m_reason; }

private:
    enum class step : std::uint8_t {
        idle,
        waiting,
        reading,
        surveying,
        claiming,
        ordering,
        ordered
    };

    [[nodiscard]] std::string reason_to_promote() const;
    [[nodiscard]] bool needs_quorum() const;
    [[nodiscard]] bool has_quorum(const shared_state& state) const;
    [[nodiscard]] std::optional<std::string> best_replica() const;
    void begin(time_point now);
    void retry_after(duration pause, time_point now);
    void finish();
    void claim_if_ready(time_point now);
    template <class T>
    void emit(T next)
    {
        m_actions.emplace_back(std::in_place_type<T>, std::move(next));
    }

    std::string m_daemon;
    random_source m_random;
    group_state m_group;
    step m_step{step::idle};
    std::string m_reason;
    time_point m_due{}; ///< when the present step is given up or repeated
    std::optional<shared_state> m_shared;
    std::vector<survey_answer> m_answers;
    bool m_surveyed{false};
    claim m_claim;
    std::uint32_t m_orders{0};             ///< sent with the present claim
    std::optional<std::string> m_rejected; ///< a target that the platform refused
    std::vector<action> m_actions;
};

} // namespace gypsumstep::promotion
