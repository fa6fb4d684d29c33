/// \file
/// The records of all members that a daemon knows.
#pragma once

#include "gypsumstep/base/time.h"
#include "gypsumstep/membership/detail/peer_index.h"
#include "gypsumstep/membership/detail/table_digest.h"
#include "gypsumstep/membership/member.h"

#include <map>

namespace gypsumstep::membership::detail {

/// Holds the best record of each address, and the peers that may be contacted.
class member_table {
public:
    struct entry {
        member_record record;
        time_point changed;
    };

    /// \param self the address that is never a peer
    explicit member_table(const endpoint& self) : m_self{self} {}

    /// Takes the record if it supersedes what is known; true if it did.
    bool apply(const member_record& record, time_point now);

    /// Forgets the members that are not present and did not change since \p before.
    void forget_absent(time_point before);

    /// The record of an address, or null.
    [[nodiscard]] const member_record* find(const endpoint& address) const;

    [[nodiscard]] const std::map<endpoint, entry>& entries() const { return m_entries; }
    [[nodiscard]] const table_digest& digest() const { return m_digest; }
    [[nodiscard]] const peer_index& peers() const { return m_peers; }
    [[nodiscard]] peer_index& peers() { return m_peers; }

    /// The bucket of an address in the digest.
    [[nodiscard]] static std::size_t bucket_of(const endpoint& address);

private:
    endpoint m_self;
    std::map<endpoint, entry> m_entries;
    table_digest m_digest;
    peer_index m_peers;

    void remove_from_indexes(const member_record& record);
    void add_to_indexes(const member_record& record);
};

} // namespace gypsumstep::membership::detail
