#include "gypsumstep/membership/detail/link_monitor.h"

namespace gypsumstep::membership::detail {

bool link_monitor::heard(domain_id domain, time_point now)
{
    link& state = m_links[domain];
    const bool was_cut = state.cut;
    state = link{now, true, 0, false};
    return was_cut;
}

bool link_monitor::failed(domain_id domain, time_point sent)
{
    if (heard_since(domain, sent)) {
        return false;
    }
    link& state = m_links[domain];
    state.failures += 1;
    const bool becomes_cut = !state.cut && state.failures >= m_limit;
    state.cut = state.cut || becomes_cut;
    return becomes_cut;
}

bool link_monitor::heard_since(domain_id domain, time_point since) const
{
    const auto found = m_links.find(domain);
    return found != m_links.end() && found->second.ever_heard && found->second.last_heard >= since;
}

bool link_monitor::is_cut(domain_id domain) const
{
    const auto found = m_links.find(domain);
    return found != m_links.end() && found->second.cut;
}

std::vector<domain_id> link_monitor::cut_domains() const
{
    std::vector<domain_id> result;
    for (const auto& [domain, state] : m_links) {
        if (state.cut) {
            result.push_back(domain);
        }
    }
    return result;
}

} // namespace gypsumstep::membership::detail
