#include "gypsumstep/membership/gossip_member.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gypsumstep::membership {
namespace {

/// How long unspent budget accumulates, in seconds.
constexpr double burst_seconds = 0.5;

/// Wait for the byte budget to recover.
constexpr duration budget_retry = 100ms;

/// Between rounds of forgetting.
constexpr duration cleanup_period = 10s;

} // namespace

gossip_member::gossip_member(const gossip_settings& settings, const member_record& self,
                             std::vector<endpoint> seeds, random_source random)
    : m_settings{settings}, m_self{self}, m_seeds{std::move(seeds)}, m_random{random},
      m_table{self.address}, m_queue{settings.rumour_limit}, m_links{settings.cut_probes},
      m_budget{settings.budget_bytes_per_second, settings.budget_bytes_per_second * burst_seconds},
      m_snapshot_budget{settings.snapshot_bytes_per_second,
                        settings.snapshot_bytes_per_second * burst_seconds}
{
}

actions gossip_member::step(const event& input, time_point now)
{
    m_actions.clear();
    m_budget.advance(now);
    m_snapshot_budget.advance(now);
    if (!m_started) {
        start(now);
    }
    std::visit([&](const auto& kind) { handle(kind, now); }, input);
    return std::exchange(m_actions, {});
}

void gossip_member::start(time_point now)
{
    m_started = true;
    m_table.apply(m_self, now);
    m_table_changed = now;
    spread(m_self, now);
    // Daemons that start together must not probe in step.
    m_next_probe = now + m_random.between(duration{0}, m_settings.probe_period);
    m_next_cleanup = now + cleanup_period;
    m_fetch = snapshot_fetch{{}, std::nullopt, now, false};
}

void gossip_member::handle(const tick& /*input*/, time_point now)
{
    advance_probes(now);
    expire_suspicions(now);
    if (m_self.status != member_status::left) {
        advance_fetch(now);
        if (now >= m_next_probe) {
            start_next_probe(now);
        }
    }
    if (m_push_at && now >= *m_push_at) {
        push_fresh(now);
    }
    if (now >= m_next_cleanup) {
        m_next_cleanup = now + cleanup_period;
        m_table.forget_absent(now - m_settings.tombstone_lifetime);
        m_payloads.forget_transient(now - m_settings.transient_lifetime);
    }
}

void gossip_member::handle(const message_received& input, time_point now)
{
    if (input.from == m_self.address) {
        return;
    }
    m_counters.messages_in += 1;
    m_counters.bytes_in += encoded_size(input.content) + datagram_header_bytes;
    note_heard(input.from, now);
    std::visit([&](const auto& kind) { receive(input.from, kind, now); }, input.content);
}

void gossip_member::handle(const publish& input, time_point now)
{
    if (m_payloads.accept(input.value, now)) {
        m_table_changed = now;
        spread(input.value, now);
    }
}

void gossip_member::handle(const leave& /*input*/, time_point now)
{
    m_self.status = member_status::left;
    m_table.apply(m_self, now);
    m_fetch.reset();
    spread(m_self, now);
    push_fresh(now);
}

void gossip_member::handle(const seeds_listed& input, time_point now)
{
    m_seeds = input.seeds;
    const bool unknown = std::ranges::any_of(
        m_seeds, [&](const endpoint& seed) { return m_table.find(seed) == nullptr; });
    if (unknown && !m_fetch && m_self.status != member_status::left) {
        m_fetch = snapshot_fetch{{}, std::nullopt, now, false};
    }
}

void gossip_member::learn(const rumours& news, time_point now)
{
    for (const rumour& item : news) {
        std::visit([&](const auto& kind) { learn(kind, now); }, item);
    }
}

void gossip_member::learn(const member_record& record, time_point now)
{
    if (record.address == m_self.address) {
        refute(record, now);
        return;
    }
    if (m_table.find(record.address) == nullptr && !is_present(record)) {
        return;
    }
    if (!m_table.apply(record, now)) {
        return;
    }
    m_table_changed = now;
    m_suspicions.erase(record.address);
    if (record.status == member_status::suspect && record.failure_domain == m_self.failure_domain) {
        m_suspicions[record.address] = {now, now + m_settings.suspicion_timeout};
    }
    m_actions.emplace_back(member_changed{record});
    spread(record, now);
}

void gossip_member::learn(const payload& value, time_point now)
{
    if (m_payloads.accept(value, now)) {
        spread(value, now);
        if (value.key.starts_with(link_alert_prefix)) {
            receive_link_alert(value, now);
            return;
        }
        m_table_changed = now;
        m_actions.emplace_back(payload_received{value});
    }
}

void gossip_member::refute(const member_record& record, time_point now)
{
    if (record == m_self || supersedes(m_self, record) || m_self.status == member_status::left) {
        return;
    }
    m_self.incarnation = record.incarnation + 1;
    m_table.apply(m_self, now);
    m_table_changed = now;
    spread(m_self, now);
}

void gossip_member::spread(const rumour& news, time_point now)
{
    m_queue.push(news);
    if (!m_push_at) {
        m_push_at = now + m_settings.push_delay;
    }
}

void gossip_member::push_fresh(time_point now)
{
    m_push_at.reset();
    if (!m_queue.has_fresh()) {
        return;
    }
    if (!m_budget.allows(0)) {
        m_push_at = now + budget_retry;
        return;
    }
    const auto reachable = [this](const endpoint& peer) {
        return is_reachable(m_table.find(peer)->failure_domain);
    };
    const auto peers = m_table.peers().sample(m_settings.push_fanout, m_random, reachable);
    const rumours news = m_queue.take_fresh(m_settings.news_bytes);
    for (const endpoint& peer : peers) {
        send(peer, gossip{news});
    }
    if (m_queue.has_fresh()) {
        m_push_at = now + budget_retry;
    }
}

void gossip_member::note_heard(const endpoint& from, time_point now)
{
    // Any message at all shows that this daemon itself is connected.
    if (m_links.heard(m_self.failure_domain, now)) {
        report_link(m_self.failure_domain, true, now);
    }
    const member_record* sender = m_table.find(from);
    if (sender != nullptr && m_links.heard(sender->failure_domain, now)) {
        report_link(sender->failure_domain, true, now);
    }
}

void gossip_member::send(const endpoint& to, const message& content)
{
    const std::size_t bytes = encoded_size(content) + datagram_header_bytes;
    if (std::holds_alternative<snapshot_chunk>(content)) {
        m_snapshot_budget.spend(bytes);
    }
    else {
        m_budget.spend(bytes);
    }
    m_counters.messages_out += 1;
    m_counters.bytes_out += bytes;
    m_actions.emplace_back(send_message{to, content});
}

rumours gossip_member::take_news(detail::rumour_queue::selection wanted)
{
    if (!m_budget.allows(0)) {
        return {};
    }
    return m_queue.take(wanted, m_settings.news_bytes, transmissions());
}

std::uint32_t gossip_member::transmissions() const
{
    const auto members = static_cast<double>(m_table.peers().size() + 2);
    return static_cast<std::uint32_t>(std::ceil(m_settings.retransmit_factor * std::log2(members)));
}

std::uint32_t gossip_member::digest() const
{
    return m_table.digest().total() ^ m_payloads.digest().total();
}

time_point gossip_member::next_wakeup() const
{
    if (!m_started) {
        return time_point{};
    }
    time_point next = std::min(m_next_probe, m_next_cleanup);
    if (m_self.status == member_status::left) {
        next = m_next_cleanup;
    }
    for (const probe& pending : m_probes) {
        const duration wait =
            pending.indirect ? m_settings.probe_timeout : m_settings.direct_timeout;
        next = std::min(next, pending.sent + wait);
    }
    for (const auto& [address, doubt] : m_suspicions) {
        next = std::min(next, doubt.deadline);
    }
    if (m_fetch) {
        next = std::min(next, m_fetch->next_request);
    }
    return m_push_at ? std::min(next, *m_push_at) : next;
}

std::vector<member_view> gossip_member::members() const
{
    std::vector<member_view> result;
    result.reserve(m_table.entries().size());
    for (const auto& [address, entry] : m_table.entries()) {
        result.push_back({entry.record, is_reachable(entry.record.failure_domain)});
    }
    return result;
}

std::optional<member_view> gossip_member::find(const endpoint& address) const
{
    const member_record* record = m_table.find(address);
    if (record == nullptr) {
        return std::nullopt;
    }
    return member_view{*record, is_reachable(record->failure_domain)};
}

std::optional<payload> gossip_member::latest(const std::string& key) const
{
    const auto found = m_payloads.latest().find(key);
    return found == m_payloads.latest().end() ? std::nullopt : std::optional{found->second};
}

} // namespace gypsumstep::membership
