/// \file
/// Tells a failure domain that is cut off from members that have died.
#pragma once

#include "gypsumstep/base/ids.h"
#include "gypsumstep/base/time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace gypsumstep::membership::detail {

/// Whether each failure domain answers this daemon.
///
/// A domain is cut off when several probes in a row into it failed and nothing
/// was heard from any of its members meanwhile.
class link_monitor {
public:
    explicit link_monitor(std::uint32_t failures_until_cut) : m_limit{failures_until_cut} {}

    /// Notes a message from the domain; true if the domain was cut off until now.
    bool heard(domain_id domain, time_point now);

    /// Notes a failed probe that was sent at \p sent; true if the domain is cut off from now on.
    bool failed(domain_id domain, time_point sent);

    /// True if something was heard from the domain at or after \p since.
    [[nodiscard]] bool heard_since(domain_id domain, time_point since) const;

    [[nodiscard]] bool is_cut(domain_id domain) const;

    /// All domains that are cut off.
    [[nodiscard]] std::vector<domain_id> cut_domains() const;

private:
    struct link {
        time_point last_heard;
        bool ever_heard{false};
        std::uint32_t failures{0};
        bool cut{false};
    };

    std::uint32_t m_limit;
    std::map<domain_id, link> m_links;
};

} // namespace gypsumstep::membership::detail
