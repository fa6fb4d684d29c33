#include "gypsumstep/membership/detail/peer_index.h"

#include <algorithm>

namespace gypsumstep::membership::detail {
namespace {

/// Draws for each wanted peer before a sample is left short.
constexpr std::size_t draws_per_peer = 4;

std::vector<endpoint> sample_pool(const endpoint_pool& pool, std::size_t count,
                                  random_source& random, const peer_index::filter& accept)
{
    std::vector<endpoint> chosen;
    if (pool.empty()) {
        return chosen;
    }
    for (std::size_t draw = 0; draw < count * draws_per_peer && chosen.size() < count; ++draw) {
        const endpoint candidate = pool.pick(random);
        if (accept(candidate) && std::ranges::find(chosen, candidate) == chosen.end()) {
            chosen.push_back(candidate);
        }
    }
    return chosen;
}

} // namespace

void endpoint_pool::insert(const endpoint& address)
{
    if (m_places.emplace(address, m_items.size()).second) {
        m_items.push_back(address);
    }
}

void endpoint_pool::erase(const endpoint& address)
{
    const auto found = m_places.find(address);
    if (found == m_places.end()) {
        return;
    }
    swap_places(found->second, m_items.size() - 1);
    m_items.pop_back();
    m_places.erase(address);
}

endpoint endpoint_pool::pick(random_source& random) const
{
    return m_items[random.below(m_items.size())];
}

std::optional<endpoint> endpoint_pool::next_in_turn(random_source& random)
{
    if (m_items.empty()) {
        return std::nullopt;
    }
    if (m_turn >= m_items.size()) {
        m_turn = 0;
    }
    // One step of a Fisher-Yates shuffle each time.
    swap_places(m_turn, m_turn + random.below(m_items.size() - m_turn));
    return m_items[m_turn++];
}

void endpoint_pool::swap_places(std::size_t left, std::size_t right)
{
    std::swap(m_items[left], m_items[right]);
    m_places[m_items[left]] = left;
    m_places[m_items[right]] = right;
}

void peer_index::insert(const endpoint& address, domain_id domain)
{
    m_all.insert(address);
    m_domains[domain].insert(address);
}

void peer_index::erase(const endpoint& address, domain_id domain)
{
    m_all.erase(address);
    const auto found = m_domains.find(domain);
    if (found == m_domains.end()) {
        return;
    }
    found->second.erase(address);
    if (found->second.empty()) {
        m_domains.erase(found);
    }
}

const endpoint_pool& peer_index::in_domain(domain_id domain) const
{
    static const endpoint_pool none;
    const auto found = m_domains.find(domain);
    return found == m_domains.end() ? none : found->second;
}

std::vector<domain_id> peer_index::domains() const
{
    std::vector<domain_id> result;
    result.reserve(m_domains.size());
    for (const auto& [domain, pool] : m_domains) {
        result.push_back(domain);
    }
    return result;
}

std::optional<endpoint> peer_index::next_in_turn(domain_id domain, random_source& random)
{
    const auto found = m_domains.find(domain);
    return found == m_domains.end() ? std::nullopt : found->second.next_in_turn(random);
}

std::vector<endpoint> peer_index::sample(std::size_t count, random_source& random,
                                         const filter& accept) const
{
    return sample_pool(m_all, count, random, accept);
}

std::vector<endpoint> peer_index::sample_domain(domain_id domain, std::size_t count,
                                                random_source& random, const filter& accept) const
{
    return sample_pool(in_domain(domain), count, random, accept);
}

} // namespace gypsumstep::membership::detail
