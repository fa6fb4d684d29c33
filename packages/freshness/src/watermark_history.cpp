#include "gypsumstep/freshness/watermark_history.h"

#include <algorithm>

namespace gypsumstep::freshness {
namespace {

/// Watermarks closer together than this are merged: they give no useful extra choice.
constexpr duration min_spacing = 10ms;

} // namespace

void watermark_history::add(watermark added, time_point now)
{
    while (!m_watermarks.empty() && m_watermarks.front().complete_until + m_retention < now) {
        m_watermarks.pop_front();
    }
    if (!m_watermarks.empty()) {
        const watermark newest = m_watermarks.back();
        if (added.position.entry_term < newest.position.entry_term) {
            return;
        }
        if (added.position.entry_term > newest.position.entry_term) {
            m_watermarks.clear();
        }
    }
    // Answers may arrive out of order. A position that includes all commits up to some time also
    // does so for earlier times, so a later watermark with a lower position replaces earlier
    // ones with higher positions.
    const auto place = std::upper_bound(m_watermarks.begin(), m_watermarks.end(), added,
                                        [](const watermark& left, const watermark& right) {
                                            return left.complete_until < right.complete_until;
                                        });
    if (place != m_watermarks.end() && place->position <= added.position) {
        return;
    }
    auto first_covered = place;
    while (first_covered != m_watermarks.begin() &&
           std::prev(first_covered)->position >= added.position) {
        --first_covered;
    }
    const auto inserted = m_watermarks.insert(m_watermarks.erase(first_covered, place), added);
    const bool is_newest = std::next(inserted) == m_watermarks.end();
    if (is_newest && m_watermarks.size() > 2) {
        const auto previous = std::prev(inserted);
        if (previous->complete_until - std::prev(previous)->complete_until < min_spacing) {
            m_watermarks.erase(previous);
        }
    }
}

std::optional<required_position> watermark_history::position_for(const read_bound& bound) const
{
    const auto found =
        std::lower_bound(m_watermarks.begin(), m_watermarks.end(), bound.acknowledged_before,
                         [](const watermark& candidate, time_point moment) {
                             return candidate.complete_until < moment;
                         });
    if (found == m_watermarks.end()) {
        return std::nullopt;
    }
    // A commit of an older term is included in the newer term's first position or was rolled
    // back by the promotion.
    if (bound.own_commit && bound.own_commit->entry_term >= found->position.entry_term &&
        *bound.own_commit > found->position) {
        return required_position{*bound.own_commit, bound.own_commit_at};
    }
    return required_position{found->position, found->complete_until};
}

std::optional<watermark> watermark_history::newest() const
{
    if (m_watermarks.empty()) {
        return std::nullopt;
    }
    return m_watermarks.back();
}

} // namespace gypsumstep::freshness
