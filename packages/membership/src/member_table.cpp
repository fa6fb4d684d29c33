#include "gypsumstep/membership/detail/member_table.h"

namespace gypsumstep::membership::detail {
namespace {

/// Keeps the bucket a function of the address alone, so that a bucket can be listed.
std::uint64_t hash_of(const member_record& record)
{
    const std::uint64_t address = mix(to_integer(record.address), 0);
    const std::uint64_t content = mix(to_integer(record.address), record.incarnation);
    return (content & ~std::uint64_t{0xFFFFFFFFU}) | (address & 0xFFFFFFFFU);
}

} // namespace

bool member_table::apply(const member_record& record, time_point now)
{
    const auto found = m_entries.find(record.address);
    if (found == m_entries.end()) {
        m_entries.emplace(record.address, entry{record, now});
        add_to_indexes(record);
        return true;
    }
    if (!supersedes(record, found->second.record)) {
        return false;
    }
    remove_from_indexes(found->second.record);
    found->second = entry{record, now};
    add_to_indexes(record);
    return true;
}

void member_table::forget_absent(time_point before)
{
    std::erase_if(m_entries, [&](const auto& item) {
        return !is_present(item.second.record) && item.second.changed < before;
    });
}

const member_record* member_table::find(const endpoint& address) const
{
    const auto found = m_entries.find(address);
    return found == m_entries.end() ? nullptr : &found->second.record;
}

std::size_t member_table::bucket_of(const endpoint& address)
{
    return table_digest::bucket_of(mix(to_integer(address), 0));
}

void member_table::remove_from_indexes(const member_record& record)
{
    if (!is_present(record)) {
        return;
    }
    m_digest.toggle(hash_of(record));
    m_peers.erase(record.address, record.failure_domain);
}

void member_table::add_to_indexes(const member_record& record)
{
    if (!is_present(record)) {
        return;
    }
    m_digest.toggle(hash_of(record));
    if (record.address != m_self) {
        m_peers.insert(record.address, record.failure_domain);
    }
}

} // namespace gypsumstep::membership::detail
