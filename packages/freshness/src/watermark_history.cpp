#include "gypsumstep/freshness/watermark_history.h"

#include <algorithm>

namespace gypsumstep::freshness {
namespace {

/// Watermarks closer together than this add nothing to the choice.
constexpr duration min_spacing = 10ms;

} // namespace

void watermark_history::add(watermark added, time_point now)
{
    while (!m_marks.empty() && m_marks.front().complete_until + m_retention < now) {
        m_marks.pop_front();
    }
    if (!m_marks.empty()) {
        const watermark newest = m_marks.back();
        if (added.position.entry_term < newest.position.entry_term) {
            return;
        }
        if (added.position.entry_term > newest.position.entry_term) {
            m_marks.clear();
        }
    }
    // Answers may cross: each mark holds for its own moment, so a later one with a lower
    // position replaces earlier ones with higher positions.
    const auto place = std::upper_bound(m_marks.begin(), m_marks.end(), added,
                                        [](const watermark& left, const watermark& right) {
                                            return left.complete_until < right.complete_until;
                                        });
    if (place != m_marks.end() && place->position <= added.position) {
        return;
    }
    auto first_covered = place;
    while (first_covered != m_marks.begin() &&
           std::prev(first_covered)->position >= added.position) {
        --first_covered;
    }
    const auto inserted = m_marks.insert(m_marks.erase(first_covered, place), added);
    const bool is_newest = std::next(inserted) == m_marks.end();
    if (is_newest && m_marks.size() > 2) {
        const auto previous = std::prev(inserted);
        if (previous->complete_until - std::prev(previous)->complete_until < min_spacing) {
            m_marks.erase(previous);
        }
    }
}

std::optional<required_position> watermark_history::position_for(const read_bound& bound) const
{
    const auto found = std::lower_bound(
        m_marks.begin(), m_marks.end(), bound.acknowledged_before,
        [](const watermark& mark, time_point moment) { return mark.complete_until < moment; });
    if (found == m_marks.end()) {
        return std::nullopt;
    }
    // A commit of an older term is contained in the newer term's first position, or was
    // rolled back by the promotion.
    if (bound.own_commit && bound.own_commit->entry_term >= found->position.entry_term &&
        *bound.own_commit > found->position) {
        return required_position{*bound.own_commit, bound.own_commit_at};
    }
    return required_position{found->position, found->complete_until};
}

std::optional<watermark> watermark_history::newest() const
{
    if (m_marks.empty()) {
        return std::nullopt;
    }
    return m_marks.back();
}

} // namespace gypsumstep::freshness
