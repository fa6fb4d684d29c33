#include "gypsumstep/membership/detail/payload_store.h"

#include "gypsumstep/base/random.h"

#include <xxhash.h>

namespace gypsumstep::membership::detail {
namespace {

/// Keeps the bucket a function of the key alone, so that a bucket can be listed.
std::uint64_t hash_of(const std::string& key, std::uint64_t version)
{
    const std::uint64_t name = XXH3_64bits(key.data(), key.size());
    return (mix(name, version) & ~std::uint64_t{0xFFFFFFFFU}) | (name & 0xFFFFFFFFU);
}

} // namespace

bool payload_store::accept(const payload& value, time_point now)
{
    if (!is_valid(value)) {
        return false;
    }
    if (value.retention == payload_retention::transient) {
        return m_transient.emplace(std::pair{value.key, value.version}, now).second;
    }
    const auto found = m_latest.find(value.key);
    if (found != m_latest.end()) {
        if (value.version <= found->second.version) {
            return false;
        }
        m_digest.toggle(hash_of(value.key, found->second.version));
    }
    m_digest.toggle(hash_of(value.key, value.version));
    m_latest.insert_or_assign(value.key, value);
    return true;
}

void payload_store::forget_transient(time_point before)
{
    std::erase_if(m_transient, [&](const auto& item) { return item.second < before; });
}

std::size_t payload_store::bucket_of(const std::string& key)
{
    return table_digest::bucket_of(XXH3_64bits(key.data(), key.size()));
}

} // namespace gypsumstep::membership::detail
