/// \file
/// What a daemon remembers of the claims on promotions beyond the store's own rows.
#pragma once

#include "gypsumstep/promotion/claim.h"
#include "gypsumstep/promotion/coordinator.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumstep::promotion {

/// Number of tokens of one group and era: a claim each second for 48 days.
inline constexpr std::uint64_t tokens_per_era = 1ULL << 22U;

/// Highest era for which tokens of its own are left below 2^53.
inline constexpr std::uint64_t max_token_era = (1ULL << 31U) - 2;

/// Returns the lowest token of an era. Tokens of a later era are higher than those of all earlier
/// ones, so a daemon that knows nothing of the claims that the store lost cannot use one again.
[[nodiscard]] constexpr std::uint64_t first_token(std::uint64_t era)
{
    return (era < max_token_era ? era : max_token_era) * tokens_per_era;
}

/// Remembers the newest claim and the highest token of each group, across the store's eras.
class claim_memory {
public:
    /// Records a claim that was read, or that this daemon has written.
    /// \param store_now the store's clock at \p now
    void learn(const std::string& service, const claim& value, store_time store_now,
               time_point now);

    /// Records a token that was seen without the whole claim, or that is about to be used.
    void learn_token(const std::string& service, std::uint64_t token);

    /// Returns the highest token of a group, or 0 if none is known.
    [[nodiscard]] std::uint64_t highest_token(std::string_view service) const;

    /// Returns the groups with a remembered claim.
    [[nodiscard]] std::vector<std::string> services() const;

    /// Returns the write that puts the newest remembered claim back, or nothing if the store's row
    /// is as new. The claim's lease goes on from when it was claimed.
    /// \param state what the store has now
    [[nodiscard]] std::optional<write_claim>
    restore(const std::string& service, const shared_state& state, time_point now) const;

private:
    struct entry {
        std::uint64_t highest_token{0};
        std::optional<claim> newest;
        time_point claimed_at{}; ///< on this daemon's clock
    };

    std::map<std::string, entry, std::less<>> m_entries;
};

} // namespace gypsumstep::promotion
