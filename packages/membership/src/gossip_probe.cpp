// Probes, suspicions and what follows from them.
#include "gypsumstep/membership/gossip_member.h"

#include <algorithm>

namespace gypsumstep::membership {

using selection = detail::rumour_queue::selection;

namespace {

/// Wait for the byte budget to recover before the next probe.
constexpr duration budget_retry = 100ms;

/// Share of the probes into other domains that go to those that are cut off.
constexpr double cut_domain_share = 0.5;

/// Alerts are told apart by a random version.
constexpr std::uint64_t version_range = std::uint64_t{1} << 32U;

std::string link_alert_key(domain_id observer, domain_id subject)
{
    return std::string{link_alert_prefix} + std::to_string(observer.value()) + "/" +
           std::to_string(subject.value());
}

} // namespace

void gossip_member::start_next_probe(time_point now)
{
    if (!m_budget.allows(0)) {
        m_next_probe = now + budget_retry;
        return;
    }
    m_next_probe = now + m_settings.probe_period;
    m_probe_count += 1;
    if (const auto target = choose_target()) {
        start_probe(*target, false, now);
    }
}

void gossip_member::start_probe(const endpoint& target, bool repeated, time_point now)
{
    const member_record* record = m_table.find(target);
    rumours news = take_news(selection::uncovered);
    if (record->status == member_status::suspect) {
        news.insert(news.begin(), *record);
    }
    m_probes.push_back({++m_sequence, target, record->failure_domain, now, false, repeated});
    send(target, ping{m_sequence, digest(), std::move(news)});
}

std::optional<endpoint> gossip_member::choose_target()
{
    const bool foreign_turn = m_probe_count % m_settings.cross_domain_every == 0;
    if (foreign_turn) {
        if (const auto target = choose_foreign_target()) {
            return target;
        }
    }
    if (auto target = m_table.peers().next_in_turn(m_self.failure_domain, m_random)) {
        return target;
    }
    return choose_foreign_target();
}

std::optional<endpoint> gossip_member::choose_foreign_target()
{
    const auto from_one_of = [this](std::vector<domain_id> domains) -> std::optional<endpoint> {
        std::erase_if(domains, [this](domain_id domain) {
            return domain == m_self.failure_domain || m_table.peers().in_domain(domain).empty();
        });
        if (domains.empty()) {
            return std::nullopt;
        }
        const domain_id domain = domains[m_random.below(domains.size())];
        return m_table.peers().in_domain(domain).pick(m_random);
    };
    if (m_random.chance(cut_domain_share)) {
        if (const auto target = from_one_of(m_links.cut_domains())) {
            return target;
        }
    }
    return from_one_of(m_table.peers().domains());
}

void gossip_member::advance_probes(time_point now)
{
    std::vector<probe> failed;
    for (probe& pending : m_probes) {
        if (now >= pending.sent + m_settings.probe_timeout) {
            failed.push_back(pending);
        }
        else if (!pending.indirect && now >= pending.sent + m_settings.direct_timeout) {
            pending.indirect = true;
            ask_others_to_probe(pending);
        }
    }
    std::erase_if(m_probes, [&](const probe& pending) {
        return now >= pending.sent + m_settings.probe_timeout;
    });
    std::erase_if(m_relays, [&](const relay& item) { return now >= item.expires; });
    for (const probe& item : failed) {
        conclude_failed(item, now);
    }
}

void gossip_member::ask_others_to_probe(const probe& pending)
{
    const auto other = [&](const endpoint& peer) { return peer != pending.target; };
    auto helpers = m_table.peers().sample_domain(pending.domain, m_settings.indirect_probes - 1,
                                                 m_random, other);
    for (const endpoint& peer : m_table.peers().sample(1, m_random, other)) {
        helpers.push_back(peer);
    }
    // The first ping may just have been lost.
    send(pending.target, ping{pending.sequence, digest(), {}});
    for (const endpoint& helper : helpers) {
        send(helper, ping_request{pending.sequence, pending.target});
    }
}

void gossip_member::conclude_failed(const probe& failed, time_point now)
{
    const member_record* record = m_table.find(failed.target);
    if (record == nullptr || !is_present(*record)) {
        return;
    }
    const bool own_domain = failed.domain == m_self.failure_domain;
    if (own_domain && m_links.heard_since(failed.domain, failed.sent)) {
        if (failed.repeated) {
            suspect(failed.target, now);
        }
        else {
            start_probe(failed.target, true, now);
        }
        return;
    }
    if (m_links.failed(failed.domain, failed.sent)) {
        report_link(failed.domain, false, now);
        return;
    }
    // A second opinion at once, before the turn comes to this domain again.
    if (!own_domain && !m_links.heard_since(failed.domain, failed.sent) &&
        is_reachable(failed.domain)) {
        start_probe(m_table.peers().in_domain(failed.domain).pick(m_random), false, now);
    }
}

void gossip_member::report_link(domain_id domain, bool reachable, time_point now)
{
    m_actions.emplace_back(domain_changed{domain, reachable});
    const auto last = m_link_alerts.find(domain);
    const bool alerted =
        last != m_link_alerts.end() && now - last->second < m_settings.link_alert_interval;
    if (domain == m_self.failure_domain || alerted) {
        return;
    }
    m_link_alerts[domain] = now;
    const payload alert{link_alert_key(m_self.failure_domain, domain),
                        m_random.below(version_range),
                        payload_retention::transient,
                        {}};
    if (m_payloads.accept(alert, now)) {
        spread(alert, now);
    }
}

/// Members of the domain that raised the alert look for themselves; nobody takes it on trust.
void gossip_member::receive_link_alert(const payload& alert, time_point now)
{
    for (const domain_id domain : m_table.peers().domains()) {
        if (alert.key != link_alert_key(m_self.failure_domain, domain)) {
            continue;
        }
        const auto last = m_link_alerts.find(domain);
        if (last == m_link_alerts.end() || now - last->second >= m_settings.link_alert_interval) {
            m_link_alerts[domain] = now;
            start_probe(m_table.peers().in_domain(domain).pick(m_random), false, now);
        }
    }
}

void gossip_member::suspect(const endpoint& target, time_point now)
{
    member_record doubted = *m_table.find(target);
    if (doubted.status != member_status::alive) {
        return;
    }
    doubted.status = member_status::suspect;
    learn(doubted, now);
    send(target, gossip{{doubted}});
}

void gossip_member::expire_suspicions(time_point now)
{
    std::vector<member_record> expired;
    for (auto& [address, doubt] : m_suspicions) {
        if (now < doubt.deadline) {
            continue;
        }
        // Without any other member heard meanwhile, this daemon is the one cut off.
        if (!m_links.heard_since(m_self.failure_domain, doubt.since)) {
            doubt.deadline = now + m_settings.suspicion_timeout;
            continue;
        }
        expired.push_back(*m_table.find(address));
    }
    for (member_record record : expired) {
        record.status = member_status::dead;
        learn(record, now);
    }
}

void gossip_member::receive(const endpoint& from, const ping& content, time_point now)
{
    learn(content.news, now);
    const bool differs = content.digest != digest();
    if (!differs) {
        m_queue.note_shared(transmissions());
    }
    rumours news = take_news(differs ? selection::all : selection::uncovered);
    const member_record* sender = m_table.find(from);
    if (sender != nullptr && sender->status != member_status::alive) {
        // Lets the sender refute what is believed of it here.
        news.insert(news.begin(), *sender);
    }
    send(from, ack{content.sequence, digest(), std::move(news)});
    compare_digest(from, content.digest, now);
}

void gossip_member::receive(const endpoint& from, const ack& content, time_point now)
{
    std::erase_if(m_probes, [&](const probe& pending) {
        return pending.sequence == content.sequence && pending.target == from;
    });
    const auto relayed = std::ranges::find(m_relays, content.sequence, &relay::sequence);
    if (relayed != m_relays.end()) {
        send(relayed->requester, indirect_ack{relayed->requested_sequence});
        m_relays.erase(relayed);
    }
    if (content.digest == digest()) {
        m_queue.note_shared(transmissions());
    }
    else if (rumours news = take_news(selection::all); !news.empty()) {
        send(from, gossip{std::move(news)});
    }
    learn(content.news, now);
    compare_digest(from, content.digest, now);
}

void gossip_member::receive(const endpoint& from, const ping_request& content, time_point now)
{
    m_relays.push_back({++m_sequence, from, content.sequence, now + m_settings.probe_timeout});
    send(content.target, ping{m_sequence, digest(), {}});
}

void gossip_member::receive(const endpoint& /*from*/, const indirect_ack& content, time_point now)
{
    const auto pending = std::ranges::find(m_probes, content.sequence, &probe::sequence);
    if (pending == m_probes.end()) {
        return;
    }
    if (m_links.heard(pending->domain, now)) {
        report_link(pending->domain, true, now);
    }
    m_probes.erase(pending);
}

void gossip_member::receive(const endpoint& /*from*/, const gossip& content, time_point now)
{
    learn(content.news, now);
}

} // namespace gypsumstep::membership
