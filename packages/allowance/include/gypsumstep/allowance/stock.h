/// \file
/// The entry daemon's side: tokens at hand, operations that wait, requests to keepers.
#pragma once

#include "gypsumstep/allowance/keeper_slots.h"
#include "gypsumstep/allowance/messages.h"
#include "gypsumstep/allowance/terms.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumstep::allowance {

/// Names a waiting operation; chosen by the caller.
using operation_id = std::uint64_t;

/// The outcome for an operation.
struct decision {
    operation_id operation{0};
    std::string account;
    bool granted{false};
    duration retry_after{0}; ///< if refused: when a token is expected

    friend bool operator==(const decision&, const decision&) = default;
};

/// A request to be sent to a keeper.
struct outgoing_request {
    std::string keeper;
    token_request content;

    friend bool operator==(const outgoing_request&, const outgoing_request&) = default;
};

/// Decides for each operation of this daemon's clients whether it may start.
class stock {
public:
    /// \param self this daemon
    /// \param first_number number of the first request; random, so that an answer to an earlier
    ///     life of the process is not taken for an answer to this one
    stock(const terms& bound, std::string self, std::uint64_t first_number);

    /// Replaces the limits. Tokens beyond a lowered limit are dropped at once.
    void set_limits(const account_limits& limits);

    /// Replaces the keepers. Nearer ones are asked first.
    /// \param part_of_slot the part of each limit that a keeper owns
    void set_keepers(std::vector<keeper_place> nearest_first, double part_of_slot);

    /// True if operations of the account need a token.
    [[nodiscard]] bool is_limited(std::string_view account) const;

    /// Takes a token for an operation that starts now; false if none is at hand.
    [[nodiscard]] bool try_take(std::string_view account, time_point now);

    /// Makes an operation wait for a token. A decision follows unless it is cancelled.
    void wait(std::string_view account, operation_id operation, time_point now);

    /// Removes an operation whose client left.
    void cancel(operation_id operation);

    /// Handles an answer of a keeper. Answers to unknown requests are ignored.
    void on_answer(const token_answer& answer, time_point now);

    /// Must be called at next_tick().
    void on_tick(time_point now);

    /// Returns when on_tick() has work next; time_point::max() if never.
    [[nodiscard]] time_point next_tick() const;

    /// Returns the requests that are due, and clears them: one for each keeper, for all accounts.
    [[nodiscard]] std::vector<outgoing_request> take_requests(time_point now);

    /// Returns the decisions for waiting operations, and clears them.
    [[nodiscard]] std::vector<decision> take_decisions();

    [[nodiscard]] std::size_t waiting() const { return m_operations.size(); }

private:
    struct waiting_operation {
        operation_id id{0};
        time_point deadline{};
    };
    struct held_tokens {
        std::uint32_t thousandths{0};
        time_point expires_at{};
    };
    struct account_state {
        account_limit limit;
        std::deque<waiting_operation> queue;
        std::deque<held_tokens> tokens; ///< sorted by expiry
        std::uint32_t asked{0};         ///< tokens that the open request asks for; 0 without one
        /// Until when each keeper has no token, by its own word.
        std::map<std::string, time_point, std::less<>> empty_until;
        std::uint32_t collecting{0}; ///< open requests for parts of a token
        double recent_use{0};        ///< operations, each weighted by its age
        time_point used_at{};
        std::optional<time_point> refused_at;
    };
    /// A keeper that did not answer, or that holds no slot.
    struct silence {
        time_point until{}; ///< not asked before
        duration backoff{0};
    };
    struct open_request {
        std::string keeper;
        std::vector<account_need> needs;
        time_point sent_at{};
        bool overdue{false};
    };
    using account_map = std::map<std::string, account_state, std::less<>>;

    void record_use(account_state& account, time_point now) const;
    [[nodiscard]] std::uint32_t ahead_of_use(const account_state& account, time_point now) const;
    void grant_waiting(account_map::value_type& entry, time_point now);
    void refuse_hopeless(account_map::value_type& entry, time_point now);
    void refuse_front(account_map::value_type& entry, duration retry_after);
    [[nodiscard]] const keeper_place* choose_keeper(const account_state& account,
                                                    time_point now) const;
    [[nodiscard]] time_point available_at(const account_state& account,
                                          const std::string& keeper) const;
    /// Takes one token; false if there is none.
    [[nodiscard]] static bool take_token(account_state& account, time_point now);
    /// The parts of one token that keepers should have; empty if they have no token together.
    [[nodiscard]] std::map<std::string, std::uint32_t>
    parts_to_collect(const account_state& account, time_point now) const;
    void settle(const open_request& request);

    terms m_terms;
    std::string m_self;
    std::uint64_t m_next_number;
    account_map m_accounts;
    std::vector<keeper_place> m_keepers;
    double m_part_of_slot{0};
    std::map<std::string, silence, std::less<>> m_silent; ///< by keeper
    std::map<std::uint64_t, open_request> m_requests;
    std::map<operation_id, std::string> m_operations; ///< account of each waiting operation
    std::set<std::string, std::less<>> m_active;      ///< accounts with waiting operations
    std::vector<decision> m_decisions;
};

} // namespace gypsumstep::allowance
