/// \file
/// Selects the daemons that are keepers.
///
/// Each failure domain of the settings has a fixed number of slots, and each slot owns the same
/// fixed part of every account's limit. One daemon of the domain holds a slot, for all accounts.
/// The number of slots never depends on which daemons are known, so daemons that know different
/// ones still agree on the parts.
#pragma once

#include "gypsumstep/homes/home_table.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace gypsumstep::allowance {

/// Least number of slots over all failure domains, so that the loss of one keeper leaves most of
/// each limit.
inline constexpr std::uint32_t min_slots = 3;

/// A keeper and how far away it is.
struct keeper_place {
    std::string name;
    std::uint32_t distance{0}; ///< 0 in the own domain, 1 in the own region, 2 elsewhere

    friend bool operator==(const keeper_place&, const keeper_place&) = default;
};

/// The failure domains of the deployment and their slots.
class keeper_slots {
public:
    /// \param domain failure domain of this daemon
    /// \param regions region of each failure domain, as in the settings
    keeper_slots(std::string domain, std::map<std::string, std::string, std::less<>> regions);

    [[nodiscard]] std::uint32_t slots_of_each_domain() const { return m_slots; }

    /// The part of each limit that one slot owns.
    [[nodiscard]] double part_of_slot() const;

    /// The keepers according to a list of daemons, each once: those of this domain first, then
    /// those of this region, then others, in an order that differs between domains.
    [[nodiscard]] std::vector<keeper_place>
    nearest_keepers(const std::vector<homes::daemon_entry>& daemons) const;

private:
    std::string m_domain;
    std::map<std::string, std::string, std::less<>> m_regions;
    std::uint32_t m_slots;
};

/// The rank of a daemon for a slot; the highest one holds it. Weighted rendezvous hashing by the
/// square of the capacity, so that the larger VMs are keepers.
[[nodiscard]] double slot_rank(const std::string& daemon, std::uint32_t capacity,
                               std::uint32_t slot);

} // namespace gypsumstep::allowance
