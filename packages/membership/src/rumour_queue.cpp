#include "gypsumstep/membership/detail/rumour_queue.h"

#include <algorithm>
#include <tuple>

namespace gypsumstep::membership::detail {
namespace {

bool is_transient(const payload& value)
{
    return value.retention == payload_retention::transient;
}

/// True if daemons with equal digests have this rumour in common.
bool is_covered_by_digest(const rumour& news)
{
    if (const auto* record = std::get_if<member_record>(&news)) {
        return record->status != member_status::suspect;
    }
    return !is_transient(std::get<payload>(news));
}

std::string subject_of(const rumour& news)
{
    if (const auto* record = std::get_if<member_record>(&news)) {
        return "m" + std::to_string(to_integer(record->address));
    }
    const auto& value = std::get<payload>(news);
    if (is_transient(value)) {
        return "t" + value.key + "@" + std::to_string(value.version);
    }
    return "l" + value.key;
}

} // namespace

void rumour_queue::push(const rumour& news)
{
    m_entries.insert_or_assign(subject_of(news), entry{news, encoded_size(news), 0, m_order++, true,
                                                       is_covered_by_digest(news)});
    if (m_entries.size() > m_limit) {
        drop_most_sent();
    }
}

rumours rumour_queue::take(selection wanted, std::size_t bytes, std::uint32_t transmissions)
{
    using iterator = decltype(m_entries)::iterator;
    std::vector<iterator> candidates;
    candidates.reserve(m_entries.size());
    for (auto it = m_entries.begin(); it != m_entries.end(); ++it) {
        if (wanted == selection::all || !it->second.covered) {
            candidates.push_back(it);
        }
    }
    std::ranges::sort(candidates, [](iterator left, iterator right) {
        return std::tie(left->second.sent, right->second.order) <
               std::tie(right->second.sent, left->second.order);
    });
    rumours taken;
    for (const iterator it : candidates) {
        if (it->second.bytes > bytes) {
            continue;
        }
        bytes -= it->second.bytes;
        taken.push_back(it->second.news);
        it->second.sent += 1;
        if (it->second.sent >= transmissions) {
            m_entries.erase(it);
        }
    }
    return taken;
}

rumours rumour_queue::take_fresh(std::size_t bytes)
{
    rumours taken;
    for (auto& [subject, item] : m_entries) {
        if (item.fresh && item.bytes <= bytes) {
            bytes -= item.bytes;
            item.fresh = false;
            taken.push_back(item.news);
        }
    }
    return taken;
}

bool rumour_queue::has_fresh() const
{
    return std::ranges::any_of(m_entries, [](const auto& item) { return item.second.fresh; });
}

void rumour_queue::note_shared(std::uint32_t transmissions)
{
    for (auto& [subject, known] : m_entries) {
        known.sent += known.covered && !known.fresh ? 1 : 0;
    }
    std::erase_if(m_entries, [&](const auto& item) {
        return item.second.covered && item.second.sent >= transmissions;
    });
}

void rumour_queue::drop_most_sent()
{
    const auto rank = [](const auto& item) {
        return std::pair{item.second.sent, ~item.second.order};
    };
    m_entries.erase(std::ranges::max_element(m_entries, {}, rank));
}

} // namespace gypsumstep::membership::detail
