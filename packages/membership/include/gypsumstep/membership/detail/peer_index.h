/// \file
/// Present members other than this daemon, for choosing whom to contact.
#pragma once

#include "gypsumstep/base/ids.h"
#include "gypsumstep/base/random.h"
#include "gypsumstep/membership/endpoint.h"

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace gypsumstep::membership::detail {

/// A set of endpoints with constant-time random choice.
class endpoint_pool {
public:
    void insert(const endpoint& address);
    void erase(const endpoint& address);

    [[nodiscard]] std::size_t size() const { return m_items.size(); }
    [[nodiscard]] bool empty() const { return m_items.empty(); }

    /// One of the endpoints; the pool must not be empty.
    [[nodiscard]] endpoint pick(random_source& random) const;

    /// Every endpoint once in random order, then again in another order.
    [[nodiscard]] std::optional<endpoint> next_in_turn(random_source& random);

private:
    std::vector<endpoint> m_items;
    std::unordered_map<endpoint, std::size_t> m_places;
    std::size_t m_turn{0};

    void swap_places(std::size_t left, std::size_t right);
};

/// Pools of all peers and of each failure domain's peers.
class peer_index {
public:
    using filter = std::function<bool(const endpoint&)>;

    void insert(const endpoint& address, domain_id domain);
    void erase(const endpoint& address, domain_id domain);

    /// Number of peers in all failure domains.
    [[nodiscard]] std::size_t size() const { return m_all.size(); }

    /// Peers of one failure domain.
    [[nodiscard]] const endpoint_pool& in_domain(domain_id domain) const;

    /// Failure domains that have peers.
    [[nodiscard]] std::vector<domain_id> domains() const;

    /// The next peer of a failure domain in turn.
    [[nodiscard]] std::optional<endpoint> next_in_turn(domain_id domain, random_source& random);

    /// Up to \p count different peers that \p accept allows.
    [[nodiscard]] std::vector<endpoint> sample(std::size_t count, random_source& random,
                                               const filter& accept) const;

    /// Up to \p count different peers of one failure domain that \p accept allows.
    [[nodiscard]] std::vector<endpoint> sample_domain(domain_id domain, std::size_t count,
                                                      random_source& random,
                                                      const filter& accept) const;

private:
    endpoint_pool m_all;
    std::map<domain_id, endpoint_pool> m_domains;
};

} // namespace gypsumstep::membership::detail
