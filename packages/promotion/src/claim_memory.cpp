#include "gypsumstep/promotion/claim_memory.h"

#include <algorithm>

namespace gypsumstep::promotion {

void claim_memory::learn(const std::string& service, const claim& value, store_time store_now,
                         time_point now)
{
    entry& known = m_entries[service];
    known.highest_token = std::max(known.highest_token, value.token);
    if (!known.newest || value.token > known.newest->token ||
        (value.token == known.newest->token && value.is_settled())) {
        known.newest = value;
        known.claimed_at = now - std::max(store_now - value.claimed_at, store_time{0});
    }
}

void claim_memory::learn_token(const std::string& service, std::uint64_t token)
{
    entry& known = m_entries[service];
    known.highest_token = std::max(known.highest_token, token);
}

std::uint64_t claim_memory::highest_token(std::string_view service) const
{
    const auto found = m_entries.find(service);
    return found == m_entries.end() ? 0 : found->second.highest_token;
}

std::vector<std::string> claim_memory::services() const
{
    std::vector<std::string> names;
    for (const auto& [service, known] : m_entries) {
        if (known.newest) {
            names.push_back(service);
        }
    }
    return names;
}

std::optional<write_claim> claim_memory::restore(const std::string& service,
                                                 const shared_state& state, time_point now) const
{
    const auto found = m_entries.find(service);
    if (found == m_entries.end() || !found->second.newest) {
        return std::nullopt;
    }
    const entry& known = found->second;
    const std::uint64_t stored = state.current_claim ? state.current_claim->token : 0;
    const bool is_unreadable = !state.current_claim && state.claim_version != 0;
    if (stored >= known.newest->token || is_unreadable) {
        return std::nullopt;
    }
    claim restored = *known.newest;
    const auto age = std::chrono::floor<store_time>(now - known.claimed_at);
    restored.claimed_at = std::max(state.now - age, store_time{0});
    return write_claim{std::move(restored), state.claim_version};
}

} // namespace gypsumstep::promotion
