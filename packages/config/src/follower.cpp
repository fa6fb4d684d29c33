#include "gypsumstep/config/follower.h"

#include <algorithm>
#include <utility>

namespace gypsumstep::config {
namespace {

/// Announces whose answers are still of use.
constexpr std::size_t announces_kept = 16;
/// Changes kept that do not join the version in force yet.
constexpr std::size_t offers_kept = 256;
constexpr std::uint32_t most_startup_doublings = 5;

} // namespace

follower::follower(follower_options options, member self, random_source random)
    : m_options{options}, m_self{self}, m_random{random}
{
}

follower::actions follower::step(const follower_event& event, time_point now)
{
    actions out;
    std::visit([&](const auto& one) { on(one, now, out); }, event);
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

void follower::on(const tick& /*event*/, time_point now, actions& out)
{
    if (!m_next_poll) {
        // Daemons that start together spread their first reads.
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

void follower::on(const peer_message& event, time_point now, actions& out)
{
    std::visit([&](const auto& one) { receive(event.from, one, now, out); }, event.content);
}

void follower::on(const head_answer& event, time_point now, actions& out)
{
    const auto asked = std::exchange(m_poll_sent, std::nullopt);
    if (!event.head || !asked) {
        return;
    }
    const head_record head = event.head.value().value_or(head_record{});
    // A version that arrived while the read was open may be newer than its answer.
    if (head.version < m_polled_version ||
        (head.version == m_head.version && head.patch_id != m_head.patch_id)) {
        m_diverged = true;
        return;
    }
    m_diverged = false;
    if (head.version < m_head.version) {
        return;
    }
    note({*asked, head.version});
    if (head.version > m_head.version) {
        catch_up(head, now, out);
    }
}

void follower::on(const change_answer& event, time_point now, actions& out)
{
    if (event.change) {
        offer(event.change.value());
        adopt_offered(now, out);
    }
}

void follower::on(const document_answer& event, time_point now, actions& out)
{
    m_fetch_sent.reset();
    if (event.document) {
        adopt_document(event.head, event.document.value(), now, out);
    }
}

void follower::on(const accepted_here& event, time_point now, actions& out)
{
    note({now, event.change.version});
    offer(event.change);
    adopt_offered(now, out);
    if (m_head.version < event.change.version) {
        catch_up(make_head(event.change), now, out);
    }
}

void follower::on(const members_changed& event, time_point /*now*/, actions& /*out*/)
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
    bring_up_to_date(from, received.version, now, out);
}

void follower::receive(daemon_id from, const status& received, time_point now, actions& out)
{
    const auto sent = m_announced.find(received.echo);
    if (sent == m_announced.end()) {
        return;
    }
    // The answer is younger than the question, so the age counts from the question.
    if (received.confirmed_age) {
        note({sent->second - *received.confirmed_age, received.version});
    }
    m_announced.erase(sent);
    bring_up_to_date(from, received.version, now, out);
}

void follower::receive(daemon_id from, const deltas& received, time_point now, actions& out)
{
    for (const auto& change : received.changes) {
        offer(change);
    }
    adopt_offered(now, out);
    if (!m_offered.empty()) {
        out.push_back(send_message{from, next_announce(now)}); // asks for what is missing
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
    if (!m_document || m_chain_broken || missing > m_options.catch_up_limit) {
        out.push_back(fetch_document{head});
        return;
    }
    for (auto version = m_head.version.next(); version <= head.version; version = version.next()) {
        if (!m_offered.contains(version)) {
            out.push_back(fetch_change{version});
        }
    }
}

void follower::offer(const change_record& change)
{
    if (change.version > m_head.version &&
        (m_offered.size() < offers_kept || change.version < m_offered.rbegin()->first)) {
        m_offered.insert({change.version, change});
    }
}

void follower::adopt_offered(time_point /*now*/, actions& out)
{
    deltas adopted;
    if (!m_document && !m_offered.empty() && m_offered.begin()->first == config_version{1}) {
        m_document = std::make_shared<const json>(json::object());
    }
    while (m_document && !m_offered.empty()) {
        const auto first = m_offered.begin();
        if (first->first > m_head.version.next()) {
            break;
        }
        const change_record change = std::move(first->second);
        m_offered.erase(first);
        if (change.version <= m_head.version) {
            continue;
        }
        auto changed = apply_patch(*m_document, change.change);
        if (!changed) {
            m_chain_broken = true; // the next head read fetches the whole document
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
    if (m_offered.empty()) {
        m_fetch_sent.reset();
    }
    if (m_seen) {
        note(*m_seen);
    }
    out.push_back(put_in_force{m_head, m_document});
    tell_partners(adopted, out);
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
    m_chain_broken = false;
    if (m_seen) {
        note(*m_seen);
    }
    out.push_back(put_in_force{m_head, m_document});
    tell_partners(next_announce(now), out);
    adopt_offered(now, out);
}

void follower::bring_up_to_date(daemon_id peer, config_version version, time_point now,
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

void follower::tell_partners(const message& content, actions& out)
{
    std::vector<member> chosen = m_partners;
    for (std::size_t i = 0; i < m_options.fanout && i < chosen.size(); ++i) {
        std::swap(chosen[i], chosen[i + m_random.below(chosen.size() - i)]);
        out.push_back(send_message{chosen[i].id, content});
    }
}

void follower::note(confirmation seen)
{
    if (seen.version <= m_head.version) {
        if (!m_confirmed || m_confirmed->at < seen.at) {
            m_confirmed = seen;
        }
        return;
    }
    if (!m_seen || m_seen->at < seen.at) {
        m_seen = seen;
    }
}

void follower::choose_partners(const std::vector<member>& members)
{
    std::vector<member> near;
    std::vector<member> far;
    for (const member& one : members) {
        if (one.id != m_self.id) {
            (one.failure_domain == m_self.failure_domain ? near : far).push_back(one);
        }
    }
    std::vector<member> chosen;
    // Partners that still live stay, since each new one costs a connection.
    const auto pick = [&](std::vector<member>& from, std::size_t count) {
        const std::size_t enough = chosen.size() + count;
        for (const member& partner : m_partners) {
            const auto found = std::ranges::find(from, partner);
            if (found != from.end() && chosen.size() < enough) {
                chosen.push_back(partner);
                from.erase(found);
            }
        }
        while (chosen.size() < enough && !from.empty()) {
            const auto index = static_cast<std::ptrdiff_t>(m_random.below(from.size()));
            chosen.push_back(from[static_cast<std::size_t>(index)]);
            from.erase(from.begin() + index);
        }
    };
    pick(near, m_options.partners_in_domain);
    pick(far, m_options.partners_elsewhere);
    for (std::size_t i = 1; i < chosen.size(); ++i) {
        std::swap(chosen[i], chosen[m_random.below(i + 1)]);
    }
    m_partners = std::move(chosen);
}

void follower::choose_role(const std::vector<member>& members)
{
    const auto weight = [](const member& one) {
        return hash_combine(one.failure_domain.value(), one.id.value());
    };
    const auto before = std::ranges::count_if(members, [&](const member& one) {
        return one.id != m_self.id && one.failure_domain == m_self.failure_domain &&
               weight(one) > weight(m_self);
    });
    const bool was_poller =
        std::exchange(m_is_poller, static_cast<std::size_t>(before) < m_options.pollers_per_domain);
    if (m_is_poller && !was_poller) {
        m_next_poll.reset(); // the slow poll's time is too far away
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
        return m_options.backstop_interval;
    }
    const auto doublings = std::min(m_startup_polls, most_startup_doublings);
    return std::min<duration>(m_options.startup_interval * (1U << doublings),
                              m_options.backstop_interval);
}

announce follower::next_announce(time_point now)
{
    m_announced[++m_sequence] = now;
    if (m_announced.size() > announces_kept) {
        m_announced.erase(m_announced.begin());
    }
    return {m_head.version, m_sequence};
}

} // namespace gypsumstep::config
