#include "store_era.h"

#include "gypsumstep/logging/logging.h"

#include <utility>

namespace gypsumstep::edge {
namespace {

const logging::logger& log()
{
    static const logging::logger instance{"store"};
    return instance;
}

} // namespace

void store_era::add_listener(listener on_rolled_back)
{
    m_listeners.push_back(std::move(on_rolled_back));
}

bool store_era::observe(std::uint64_t era)
{
    if (era == 0) {
        // Nothing tells to which era the answer belongs, so it is served as one of the newest.
        m_answered_without = m_answered_without || m_current == 0;
        return true;
    }
    if (era == m_current) {
        return true;
    }
    if (era < m_current) {
        ++m_late_answers;
        log().info("threw away an answer of an earlier era of the store",
                   {{"era", era}, {"newest", m_current}});
        return false;
    }
    const std::uint64_t before = std::exchange(m_current, era);
    if (before == 0 && !m_answered_without) {
        if (m_on_first) {
            m_on_first();
        }
        return true;
    }
    ++m_rollbacks;
    dropped_state dropped;
    for (const listener& on_rolled_back : m_listeners) {
        on_rolled_back(dropped);
    }
    log().warn("the store went back to an earlier copy; everything is read again",
               {{"era_before", before},
                {"era", era},
                {"dropped_calls", static_cast<std::uint64_t>(dropped.calls)},
                {"dropped_readings", static_cast<std::uint64_t>(dropped.readings)},
                {"dropped_promotions", static_cast<std::uint64_t>(dropped.promotions)},
                {"claims_to_compare", static_cast<std::uint64_t>(dropped.claims)}});
    return true;
}

} // namespace gypsumstep::edge
