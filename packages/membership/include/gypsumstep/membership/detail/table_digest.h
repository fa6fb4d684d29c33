/// \file
/// A digest of a set that changes with each insertion and removal.
#pragma once

#include "gypsumstep/membership/message.h"

namespace gypsumstep::membership::detail {

/// XOR of the items' hashes, split into buckets so that differences can be located.
class table_digest {
public:
    using buckets = std::array<std::uint32_t, digest_bucket_count>;

    /// Adds an item, or removes it if it is in the set.
    void toggle(std::uint64_t hash)
    {
        const auto folded = static_cast<std::uint32_t>(hash >> 32U);
        m_buckets[bucket_of(hash)] ^= folded;
        m_total ^= folded;
    }

    /// The bucket that an item falls into.
    [[nodiscard]] static std::size_t bucket_of(std::uint64_t hash)
    {
        return static_cast<std::size_t>(hash % digest_bucket_count);
    }

    [[nodiscard]] const buckets& parts() const { return m_buckets; }
    [[nodiscard]] std::uint32_t total() const { return m_total; }

private:
    buckets m_buckets{};
    std::uint32_t m_total{0};
};

} // namespace gypsumstep::membership::detail
