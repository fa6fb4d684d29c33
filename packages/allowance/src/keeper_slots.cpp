#include "gypsumstep/allowance/keeper_slots.h"

#include "gypsumstep/base/random.h"
#include "gypsumstep/base/rendezvous.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace gypsumstep::allowance {

double slot_rank(const std::string& daemon, std::uint32_t capacity, std::uint32_t slot)
{
    return rendezvous_score(hash_combine(stable_hash(daemon), slot), capacity);
}

keeper_slots::keeper_slots(std::string domain,
                           std::map<std::string, std::string, std::less<>> regions)
    : m_domain{std::move(domain)}, m_regions{std::move(regions)}
{
    m_regions.try_emplace(m_domain);
    const auto domains = static_cast<std::uint32_t>(m_regions.size());
    m_slots = (min_slots + domains - 1) / domains;
}

double keeper_slots::part_of_slot() const
{
    return 1.0 / (static_cast<double>(m_regions.size()) * m_slots);
}

std::vector<keeper_place>
keeper_slots::nearest_keepers(const std::vector<homes::daemon_entry>& daemons) const
{
    struct candidate {
        double rank{0};
        const homes::daemon_entry* daemon{nullptr};
    };
    std::map<std::pair<std::string_view, std::uint32_t>, candidate> best;
    for (const homes::daemon_entry& daemon : daemons) {
        for (std::uint32_t slot = 0; slot < m_slots; ++slot) {
            candidate& entry = best[{daemon.domain, slot}];
            const double rank = slot_rank(daemon.name, daemon.capacity, slot);
            if (entry.daemon == nullptr || rank > entry.rank) {
                entry = {rank, &daemon};
            }
        }
    }
    const auto region_of = [this](const std::string& domain) {
        const auto found = m_regions.find(domain);
        return found == m_regions.end() ? std::string_view{} : std::string_view{found->second};
    };
    using place = std::tuple<std::uint32_t, std::uint64_t, std::string>;
    std::vector<place> places;
    for (const auto& [slot, entry] : best) {
        const homes::daemon_entry& daemon = *entry.daemon;
        const bool in_region = region_of(daemon.domain) == region_of(m_domain);
        const std::uint32_t distance = daemon.domain == m_domain ? 0U : in_region ? 1U : 2U;
        places.emplace_back(distance, hash_combine(stable_hash(m_domain), stable_hash(daemon.name)),
                            daemon.name);
    }
    std::sort(places.begin(), places.end());
    std::vector<keeper_place> keepers;
    for (auto& [distance, order, name] : places) {
        // A daemon may hold several slots of its domain.
        if (keepers.empty() || keepers.back().name != name) {
            keepers.push_back({std::move(name), distance});
        }
    }
    return keepers;
}

} // namespace gypsumstep::allowance
