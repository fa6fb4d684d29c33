/// \file
/// Payloads that a daemon has received.
#pragma once

#include "gypsumstep/base/time.h"
#include "gypsumstep/membership/detail/table_digest.h"
#include "gypsumstep/membership/payload.h"

#include <map>
#include <string>
#include <utility>

namespace gypsumstep::membership::detail {

/// Tells new payloads from those already seen.
class payload_store {
public:
    /// Takes a payload; true if it is valid and new.
    bool accept(const payload& value, time_point now);

    /// Forgets transient payloads that arrived before \p before.
    void forget_transient(time_point before);

    /// The newest version of each key that is kept.
    [[nodiscard]] const std::map<std::string, payload>& latest() const { return m_latest; }

    [[nodiscard]] const table_digest& digest() const { return m_digest; }

    /// The bucket of a key in the digest.
    [[nodiscard]] static std::size_t bucket_of(const std::string& key);

private:
    std::map<std::string, payload> m_latest;
    std::map<std::pair<std::string, std::uint64_t>, time_point> m_transient;
    table_digest m_digest;
};

} // namespace gypsumstep::membership::detail
