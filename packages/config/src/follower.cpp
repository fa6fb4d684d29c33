#include "gypsumstep/config/follower.h"

#include <algorithm>
#include <utility>

namespace gypsumstep::config {
namespace {

/// Maximum number of announces whose status is still accepted.
constexpr std::size_t max_open_announces = 16;
/// Maximum number of changes kept until the versions before them arrive.
constexpr std::size_t max_pending_changes = 256;
constexpr std::uint32_t max_startup_doublings = 5;

} // namespace

follower::follower(follower_options options, member self, random_source random)
    : m_options{options}, m_self{self}, m_random{random}
{
}

follower::actions follower::step(const follower_event& event, time_point now)
{
    actions out;
    std::visit([&](const auto& content) { handle(content, now, out); }, event);
    return out;
}

version_report follower::report(time_point now) const
{
    version_report value;
    value.version = m_head.version;
    value.patch_id = m_head.patch_id;
    if (m_confirmed) {
        value.confirmed_age = now - m_confirmed->at;
    }
    value.is_poller = m_is_poller;
    value.diverged = m_diverged;
    return value;
}

void follower::handle(const tick& /*event*/, time_point now, actions& out)
{
    if (!m_next_poll) {
        // Daemons that start at the same time must not read the head at the same time.
        m_next_poll = now + m_random.between(duration{0}, head_interval());
        m_next_announce = now + m_random.between(duration{0}, m_options.announce_interval);
    }
    const bool poll_open = m_poll_sent && now - *m_poll_sent < m_options.request_timeout;
    if (now >= *m_next_poll && !poll_open) {
        m_poll_sent = now;
        m_polled_version = m_head.version;
        m_startup_polls += m_polled_version == config_version{} ? 1 : 0;
        m_next_poll = now + jittered(head_interval());
        out.push_back(poll_head{});
    }
    if (now >= *m_next_announce && !m_partners.empty()) {
        m_next_announce = now + jittered(m_options.announce_interval);
        m_partner_index = (m_partner_index + 1) % m_partners.size();
        out.push_back(send_message{m_partners[m_partner_index].id, next_announce(now)});
    }
}

void follower::handle(const peer_message& event, time_point now, actions& out)
{
    std::visit([&](const auto& content) { receive(event.from, content, now, out); }, event.content);
}

void follower::handle(const head_answer& event, time_point now, actions& out)
{
    const auto sent_at = std::exchange(m_poll_sent, std::nullopt);
    if (!event.head || !sent_at) {
        return;
    }
    const head_record head = event.head.value().value_or(head_record{});
    // A version that arrived from a peer while the read was open may be newer than the
    // answer, so the answer is compared with the version at the time of the read.
    if (head.version < m_polled_version ||
        (head.version == m_head.version && head.patch_id != m_head.patch_id)) {
        m_diverged = true;
        return;
    }
    m_diverged = false;
    if (head.version < m_head.version) {
        return;
    }
    record_confirmation({*sent_at, head.version});
    if (head.version > m_head.version) {
        catch_up(head, now, out);
    }
}

void follower::handle(const change_answer& event, time_point now, actions& out)
{
    if (event.change) {
        add_pending(event.change.value());
        apply_pending(now, out);
    }
}

void follower::handle(const document_answer& event, time_point now, actions& out)
{
    m_fetch_sent.reset();
    if (event.document) {
        adopt_document(event.head, event.document.value(), now, out);
    }
}

void follower::handle(const accepted_locally& event, time_point now, actions& out)
{
    record_confirmation({now, event.change.version});
    add_pending(event.change);
    apply_pending(now, out);
    if (m_head.version < event.change.version) {
        catch_up(make_head(event.change), now, out);
    }
}

void follower::handle(const members_changed& event, time_point /*now*/, actions& /*out*/)
{
    choose_partners(event.members);
    choose_role(event.members);
}

void follower::receive(daemon_id from, const announce& received, time_point now, actions& out)
{
    status answer{m_head.version, received.sequence, {}};
    if (m_confirmed) {
        answer.confirmed_age = now - m_confirmed->at;
    }
    out.push_back(send_message{from, answer});
    send_missing_changes(from, received.version, now, out);
}

void follower::receive(daemon_id from, const status& received, time_point now, actions& out)
{
    const auto sent = m_announce_times.find(received.echo);
    if (sent == m_announce_times.end()) {
        return;
    }
    // The peer answered after the announce was sent. Counting the age from the announce
    // never makes the confirmation look newer than it is.
    if (received.confirmed_age) {
        record_confirmation({sent->second - *received.confirmed_age, received.version});
    }
    m_announce_times.erase(sent);
    send_missing_changes(from, received.version, now, out);
}

void follower::receive(daemon_id from, const deltas& received, time_point now, actions& out)
{
    for (const auto& change : received.changes) {
        add_pending(change);
    }
    apply_pending(now, out);
    if (!m_pending.empty()) {
        out.push_back(send_message{from, next_announce(now)}); // requests the missing changes
    }
}

void follower::receive(daemon_id /*from*/, const snapshot& received, time_point now, actions& out)
{
    adopt_document(received.head, received.document, now, out);
}

void follower::catch_up(const head_record& head, time_point now, actions& out)
{
    if (m_fetch_sent && now - *m_fetch_sent < m_options.poll_interval) {
        return;
    }
    m_fetch_sent = now;
    const std::uint64_t missing = head.version.value() - m_head.version.value();
    if (!m_document || m_needs_document || missing > m_options.catch_up_limit) {
        out.push_back(fetch_document{head});
        return;
    }
    for (auto version = m_head.version.next(); version <= head.version; version = version.next()) {
        if (!m_pending.contains(version)) {
            out.push_back(fetch_change{version});
        }
    }
}

void follower::add_pending(const change_record& change)
{
    if (change.version > m_head.version &&
        (m_pending.size() < max_pending_changes || change.version < m_pending.rbegin()->first)) {
        m_pending.insert({change.version, change});
    }
}

void follower::apply_pending(time_point /*now*/, actions& out)
{
    deltas adopted;
    if (!m_document && !m_pending.empty() && m_pending.begin()->first == config_version{1}) {
        m_document = std::make_shared<const json>(json::object());
    }
    while (m_document && !m_pending.empty()) {
        const auto first = m_pending.begin();
        if (first->first > m_head.version.next()) {
            break;
        }
        const change_record change = std::move(first->second);
        m_pending.erase(first);
        if (change.version <= m_head.version) {
            continue;
        }
        auto changed = apply_patch(*m_document, change.change);
        if (!changed) {
            m_needs_document = true; // after the next head read, the whole document is fetched
            break;
        }
        m_document = std::make_shared<const json>(std::move(changed.value()));
        m_head = make_head(change);
        m_log.push_back(change);
        adopted.changes.push_back(change);
        if (m_log.size() > m_options.log_limit) {
            m_log.pop_front();
        }
    }
    if (adopted.changes.empty()) {
        return;
    }
    if (m_pending.empty()) {
        m_fetch_sent.reset();
    }
    if (m_later_confirmation) {
        record_confirmation(*m_later_confirmation);
    }
    out.push_back(put_in_force{m_head, m_document});
    send_to_partners(adopted, out);
}

void follower::adopt_document(const head_record& head, const document_ptr& document, time_point now,
                              actions& out)
{
    if (head.version <= m_head.version || !document) {
        return;
    }
    m_head = head;
    m_document = document;
    m_log.clear();
    m_needs_document = false;
    if (m_later_confirmation) {
        record_confirmation(*m_later_confirmation);
    }
    out.push_back(put_in_force{m_head, m_document});
    send_to_partners(next_announce(now), out);
    apply_pending(now, out);
}

void follower::send_missing_changes(daemon_id peer, config_version version, time_point now,
                                    actions& out)
{
    if (version >= m_head.version) {
        return;
    }
    if (!m_log.empty() && m_log.front().version <= version.next()) {
        deltas missing;
        std::ranges::copy_if(m_log, std::back_inserter(missing.changes),
                             [&](const auto& change) { return change.version > version; });
        out.push_back(send_message{peer, std::move(missing)});
        return;
    }
    if (now >= m_snapshot_after) {
        m_snapshot_after = now + m_options.snapshot_interval;
        out.push_back(send_message{peer, snapshot{m_head, m_document}});
    }
}

void follower::send_to_partners(const message& content, actions& out)
{
    std::vector<member> chosen = m_partners;
    for (std::size_t i = 0; i < m_options.fanout && i < chosen.size(); ++i) {
        std::swap(chosen[i], chosen[i + m_random.below(chosen.size() - i)]);
        out.push_back(send_message{chosen[i].id, content});
    }
}

void follower::record_confirmation(confirmation confirmed)
{
    if (confirmed.version <= m_head.version) {
        if (!m_confirmed || m_confirmed->at < confirmed.at) {
            m_confirmed = confirmed;
        }
        return;
    }
    if (!m_later_confirmation || m_later_confirmation->at < confirmed.at) {
        m_later_confirmation = confirmed;
    }
}

void follower::choose_partners(const std::vector<member>& members)
{
    std::vector<member> same_domain;
    std::vector<member> other_domains;
    for (const member& candidate : members) {
        if (candidate.id != m_self.id) {
            (candidate.failure_domain == m_self.failure_domain ? same_domain : other_domains)
                .push_back(candidate);
        }
    }
    std::vector<member> chosen;
    // Keeps partners that are still alive, since each new one costs a connection.
    const auto choose = [&](std::vector<member>& from, std::size_t count) {
        const std::size_t target_count = chosen.size() + count;
        for (const member& partner : m_partners) {
            const auto found = std::ranges::find(from, partner);
            if (found != from.end() && chosen.size() < target_count) {
                chosen.push_back(partner);
                from.erase(found);
            }
        }
        while (chosen.size() < target_count && !from.empty()) {
            const auto index = static_cast<std::ptrdiff_t>(m_random.below(from.size()));
            chosen.push_back(from[static_cast<std::size_t>(index)]);
            from.erase(from.begin() + index);
        }
    };
    choose(same_domain, m_options.partners_in_domain);
    choose(other_domains, m_options.partners_in_other_domains);
    for (std::size_t i = 1; i < chosen.size(); ++i) {
        std::swap(chosen[i], chosen[m_random.below(i + 1)]);
    }
    m_partners = std::move(chosen);
}

void follower::choose_role(const std::vector<member>& members)
{
    const auto weight = [](const member& candidate) {
        return hash_combine(candidate.failure_domain.value(), candidate.id.value());
    };
    const auto preceding = std::ranges::count_if(members, [&](const member& candidate) {
        return candidate.id != m_self.id && candidate.failure_domain == m_self.failure_domain &&
               weight(candidate) > weight(m_self);
    });
    const bool was_poller = std::exchange(m_is_poller, static_cast<std::size_t>(preceding) <
                                                           m_options.pollers_per_domain);
    if (m_is_poller && !was_poller) {
        m_next_poll.reset(); // the next read at the fallback interval is too far away
    }
}

duration follower::jittered(duration interval)
{
    return m_random.between(interval * 3 / 4, interval * 5 / 4);
}

duration follower::head_interval() const
{
    if (m_is_poller) {
        return m_options.poll_interval;
    }
    if (m_head.version != config_version{}) {
        return m_options.fallback_poll_interval;
    }
    const auto doublings = std::min(m_startup_polls, max_startup_doublings);
    return std::min<duration>(m_options.startup_poll_interval * (1U << doublings),
                              m_options.fallback_poll_interval);
}

announce follower::next_announce(time_point now)
{
    m_announce_times[++m_sequence] = now;
    if (m_announce_times.size() > max_open_announces) {
        m_announce_times.erase(m_announce_times.begin());
    }
    return {m_head.version, m_sequence};
}

} // namespace gypsumstep::config
