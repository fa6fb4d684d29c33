#include "replica_log.h"

#include <algorithm>

namespace gypsumstep::standin {

log_position replica_log::last() const
{
    return position_at(m_entries.size());
}

log_position replica_log::position_at(std::uint64_t index) const
{
    if (index == 0 || index > m_entries.size()) {
        return {};
    }
    return {at(index).entry_term, index};
}

bool replica_log::contains(log_position position) const
{
    return position.index == 0 || position_at(position.index) == position;
}

std::vector<log_entry> replica_log::after(std::uint64_t index, std::size_t limit) const
{
    const std::size_t first = std::min<std::size_t>(index, m_entries.size());
    const std::size_t end = std::min(m_entries.size(), first + limit);
    return {m_entries.begin() + static_cast<std::ptrdiff_t>(first),
            m_entries.begin() + static_cast<std::ptrdiff_t>(end)};
}

log_position replica_log::append(log_entry entry)
{
    m_entries.push_back(std::move(entry));
    return last();
}

void replica_log::truncate(std::uint64_t index)
{
    m_entries.resize(std::min<std::size_t>(index, m_entries.size()));
}

} // namespace gypsumstep::standin
