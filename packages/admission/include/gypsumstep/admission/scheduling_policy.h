/// \file
/// The interface of the policies that choose between ranks.
#pragma once

#include "gypsumstep/admission/queue_settings.h"
#include "gypsumstep/base/rank.h"
#include "gypsumstep/base/time.h"

#include <array>
#include <concepts>
#include <cstdint>
#include <optional>

namespace gypsumstep::admission {

/// What waits in one rank.
struct rank_backlog {
    std::size_t waiting{0};         ///< number of requests
    std::uint64_t head_sequence{0}; ///< arrival number of the first; only if any waits

    friend bool operator==(const rank_backlog&, const rank_backlog&) = default;
};

/// What waits in all ranks.
using backlog = std::array<rank_backlog, rank_count>;

/// Chooses the rank that starts next. Stateful; owned by one queue.
template <class Policy>
concept scheduling_policy = std::default_initializable<Policy> &&
    requires(Policy policy, const backlog& waiting, const queue_settings& settings, double slots,
             time_point now, rank level, duration cost)
{
    /// Whether callers of a rank take turns; otherwise first come, first served.
    {
        Policy::fair_between_accounts
        } -> std::convertible_to<bool>;
    /// Whether requests that would miss their deadline are refused.
    {
        Policy::refuses_late
        } -> std::convertible_to<bool>;
    /// Accounts for the time since the last call, in which \p waiting was constant.
    policy.advance(waiting, settings, slots, now);
    /// Accounts for slot time given to a rank; negative to correct an estimate.
    policy.charge(level, cost);
    /// The rank to serve; nothing only if no rank has waiting requests.
    {
        policy.choose(waiting)
        } -> std::same_as<std::optional<rank>>;
};

} // namespace gypsumstep::admission
