#include "gypsumstep/allowance/slot_ownership.h"

#include "gypsumstep/allowance/keeper_slots.h"

#include <algorithm>
#include <utility>

namespace gypsumstep::allowance {
namespace {

/// A slot is held no sooner than this after its claim. Two restarts of all keepers within one
/// window stay within the bound only with this pause; it also covers a round trip in the domain.
constexpr duration min_claim_time = 100ms;

/// A daemon that has not answered a claim for this long counts as ended or cut off. Longer than a
/// VM with a small share of a core is stopped by its scheduler.
constexpr duration silence_timeout = 400ms;

/// Part of a slot that is granted while a silent daemon might hold it as well: the overage of the
/// bound covers half a slot of six, but not a whole one.
constexpr double unsure_part = 0.5;

/// Interval between messages to daemons that have not answered: at first, and after the time that
/// a restart takes.
constexpr duration first_round_interval = 100ms;
constexpr duration late_round_interval = 2s;
constexpr duration first_rounds_time = 3s;

/// Interval between messages of a holder to all others.
constexpr duration renewal_interval = 30s;

/// How long a daemon counts that only others know. They are asked again after that, and by a holder
/// before.
constexpr duration hint_time = 35s;

/// A holder that heard nobody for this long, two renewals and a margin, may be cut off from its
/// domain, whose other daemons then choose another one.
constexpr duration isolation_time = 70s;

/// How long a daemon that is not listed any more is still asked, or counts after its last message.
/// A daemon that is cut off leaves the list 50 s later at the earliest, so that it has reduced its
/// own part after \c isolation_time when this ends.
constexpr duration former_member_time = 60s;

} // namespace

slot_ownership::slot_ownership(homes::daemon_entry self, std::uint32_t slots)
    : m_self{std::move(self)}, m_slots{slots}
{
}

void slot_ownership::set_daemons(const std::vector<homes::daemon_entry>& daemons, time_point now)
{
    m_is_listed = false;
    bool is_new = false;
    for (auto& [name, other] : m_members) {
        if (other.listed) {
            other.listed = false;
            other.unlisted_at = now;
        }
    }
    for (const homes::daemon_entry& daemon : daemons) {
        m_is_listed = m_is_listed || daemon.name == m_self.name;
        if (daemon.domain == m_self.domain && daemon.name != m_self.name) {
            const auto [entry, added] = m_members.try_emplace(daemon.name);
            entry->second.listed = true;
            entry->second.capacity = daemon.capacity;
            if (added) {
                entry->second.asked_at = now;
                is_new = true;
            }
        }
    }
    update_claim(now);
    if (is_new && m_claimed > 0 && m_claimed_at != now) {
        send_round(now);
    }
}

void slot_ownership::on_presence(const presence& content, time_point now)
{
    if (content.domain != m_self.domain || content.sender == m_self.name) {
        return;
    }
    const auto [entry, added] = m_members.try_emplace(content.sender);
    member& other = entry->second;
    if (added) {
        other.unlisted_at = now;
    }
    other.capacity = content.capacity;
    other.heard = true;
    other.ever_heard = true;
    other.last_heard = now;
    for (const known_daemon& higher : content.higher) {
        if (higher.name != m_self.name) {
            m_hints.insert_or_assign(higher.name, hint{higher.capacity, now});
        }
    }
    update_claim(now);
}

std::vector<known_daemon> slot_ownership::higher_than(const presence& other, time_point now) const
{
    std::vector<known_daemon> higher;
    for (std::uint32_t slot = 0; slot < m_slots; ++slot) {
        double best = slot_rank(other.sender, other.capacity, slot);
        const std::string* name = nullptr;
        std::uint32_t capacity = 0;
        for (const auto& [candidate, known] : m_members) {
            const double rank = slot_rank(candidate, known.capacity, slot);
            if (candidate != other.sender && counts(known, now) && rank > best) {
                best = rank;
                name = &candidate;
                capacity = known.capacity;
            }
        }
        if (name != nullptr) {
            higher.push_back({*name, capacity});
        }
    }
    return higher;
}

bool slot_ownership::member::is_silent(time_point now) const
{
    return !heard && now - asked_at >= silence_timeout;
}

bool slot_ownership::member::was_heard_lately(time_point now) const
{
    return ever_heard && now - last_heard <= isolation_time;
}

bool slot_ownership::counts(const member& other, time_point now) const
{
    return other.listed || other.was_heard_lately(now);
}

std::uint32_t slot_ownership::best_slots(time_point now) const
{
    std::uint32_t count = 0;
    for (std::uint32_t slot = 0; slot < m_slots; ++slot) {
        const double own = slot_rank(m_self.name, m_self.capacity, slot);
        const bool best = std::none_of(m_members.begin(), m_members.end(), [&](const auto& entry) {
            return counts(entry.second, now) &&
                   slot_rank(entry.first, entry.second.capacity, slot) > own;
        });
        const bool hinted = std::any_of(m_hints.begin(), m_hints.end(), [&](const auto& entry) {
            return now - entry.second.heard_at <= hint_time &&
                   slot_rank(entry.first, entry.second.capacity, slot) > own;
        });
        count += best && !hinted ? 1 : 0;
    }
    return count;
}

void slot_ownership::update_claim(time_point now)
{
    std::erase_if(m_members, [&](const auto& entry) {
        return !entry.second.listed && !entry.second.was_heard_lately(now) &&
               now - entry.second.unlisted_at > former_member_time;
    });
    const std::uint32_t best = m_is_listed ? best_slots(now) : 0;
    const bool grew = best > m_claimed;
    m_claimed = best;
    if (best == 0) {
        // A hint ends without a further event.
        std::erase_if(m_hints,
                      [&](const auto& entry) { return now - entry.second.heard_at > hint_time; });
        m_next_round = m_hints.empty() ? time_point::max() : now + hint_time;
        return;
    }
    if (grew) {
        m_claimed_at = now;
        m_established = false;
        for (auto& [name, other] : m_members) {
            other.heard = false;
            other.asked_at = now;
        }
        send_round(now);
    }
}

void slot_ownership::send_round(time_point now)
{
    const bool missing = std::any_of(m_members.begin(), m_members.end(),
                                     [](const auto& entry) { return !entry.second.heard; });
    for (const auto& [name, other] : m_members) {
        if (!missing || !other.heard) {
            m_recipients.push_back(name);
        }
    }
    const duration age = now - m_claimed_at;
    const bool settled = !missing && age >= min_claim_time;
    m_next_round = now + (settled                   ? renewal_interval
                          : age < first_rounds_time ? first_round_interval
                                                    : late_round_interval);
}

void slot_ownership::on_tick(time_point now)
{
    if (now < m_next_round) {
        return;
    }
    update_claim(now);
    if (m_claimed > 0 && now >= m_next_round) {
        send_round(now);
    }
}

std::vector<std::string> slot_ownership::take_recipients()
{
    return std::exchange(m_recipients, {});
}

double slot_ownership::held_slots(time_point now)
{
    if (m_claimed == 0) {
        return 0;
    }
    const auto any = [this](auto&& matches) {
        return std::any_of(m_members.begin(), m_members.end(),
                           [&](const auto& entry) { return matches(entry.second); });
    };
    const bool one_silent = any([now](const member& other) { return other.is_silent(now); });
    if (!m_established) {
        const bool one_awaited =
            any([now](const member& other) { return !other.heard && !other.is_silent(now); });
        m_established = !one_awaited && now - m_claimed_at >= min_claim_time;
    }
    if (!m_established) {
        return 0;
    }
    const bool isolated = !m_members.empty() &&
                          !any([now](const member& other) { return other.was_heard_lately(now); });
    return one_silent || isolated ? m_claimed * unsure_part : m_claimed;
}

} // namespace gypsumstep::allowance
