/// \file
/// The interface of scheduling policies, which choose between ranks.
#pragma once

#include "gypsumstep/admission/queue_settings.h"
#include "gypsumstep/base/rank.h"
#include "gypsumstep/base/time.h"

#include <array>
#include <concepts>
#include <cstdint>
#include <optional>

namespace gypsumstep::admission {

/// The waiting requests of one rank.
struct rank_backlog {
    std::size_t waiting{0};         ///< number of waiting requests
    std::uint64_t head_sequence{0}; ///< arrival number of the first one; valid if waiting > 0

    friend bool operator==(const rank_backlog&, const rank_backlog&) = default;
};

/// The waiting requests of all ranks.
using backlog = std::array<rank_backlog, rank_count>;

/// Chooses the rank that is served next. Stateful; each queue owns one.
template <class Policy>
concept scheduling_policy = std::default_initializable<Policy> &&
    requires(Policy policy, const backlog& waiting, const queue_settings& settings, double slots,
             time_point now, rank level, duration cost)
{
    /// Whether requests of one rank are scheduled fairly between client accounts; otherwise
    /// first come, first served.
    {
        Policy::fair_between_accounts
        } -> std::convertible_to<bool>;
    /// Whether requests that would miss their deadline are refused.
    {
        Policy::refuses_late
        } -> std::convertible_to<bool>;
    /// Advances the policy's clock to \p now; \p waiting was constant since the last call.
    policy.advance(waiting, settings, slots, now);
    /// Charges a rank for slot time. Negative if an earlier charge was too high.
    policy.charge(level, cost);
    /// The rank to serve next; nullopt only if no rank has waiting requests.
    {
        policy.choose(waiting)
        } -> std::same_as<std::optional<rank>>;
};

} // namespace gypsumstep::admission
