#include "gypsumstep/dispatch/wait_queue.h"

#include <algorithm>

namespace gypsumstep::dispatch {

void wait_queue::push(queued_statement& item)
{
    list& items = m_by_priority[item.priority];
    auto place = items.end();
    while (place != items.begin() && std::prev(place)->arrived > item.arrived) {
        --place;
    }
    items.insert(place, item);
}

void wait_queue::remove(queued_statement& item)
{
    list& items = m_by_priority[item.priority];
    items.erase(items.iterator_to(item));
}

std::size_t wait_queue::count_ahead(std::uint32_t priority, bool needs_primary) const
{
    std::size_t ahead = 0;
    for (const auto& [level, items] : m_by_priority) {
        if (level > priority) {
            break;
        }
        ahead += static_cast<std::size_t>(std::count_if(
            items.begin(), items.end(), [needs_primary](const queued_statement& item) {
                return !needs_primary || item.needs_primary;
            }));
    }
    return ahead;
}

std::size_t wait_queue::size() const
{
    std::size_t total = 0;
    for (const auto& [level, items] : m_by_priority) {
        total += items.size();
    }
    return total;
}

void wait_queue::clear()
{
    for (auto& [level, items] : m_by_priority) {
        items.clear();
    }
}

} // namespace gypsumstep::dispatch
