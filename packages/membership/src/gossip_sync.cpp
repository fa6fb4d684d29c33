// Snapshots for joining daemons and repair of lost rumours.
#include "gypsumstep/membership/gossip_member.h"

#include <algorithm>
#include <iterator>

namespace gypsumstep::membership {
namespace {

/// Room for what surrounds the rumours in a message, in bytes.
constexpr std::size_t envelope_bytes = 80;

/// Share of snapshot requests that go to a known member while there are unknown seeds.
constexpr double known_peer_share = 0.5;

/// Digests in a row that must differ before tables are compared.
constexpr std::uint32_t mismatches_until_sync = 3;

/// Appends to a list of rumours until a message is full.
class chunk_builder {
public:
    /// False if there is no room left.
    bool add(const rumour& item)
    {
        const std::size_t bytes = encoded_size(item);
        if (bytes > m_room) {
            return false;
        }
        m_room -= bytes;
        m_news.push_back(item);
        return true;
    }

    [[nodiscard]] rumours take() { return std::move(m_news); }

private:
    std::size_t m_room{max_message_bytes - envelope_bytes};
    rumours m_news;
};

/// Adds one stage's members after the cursor; false if the chunk became full.
bool add_members(const detail::member_table& table, domain_id requester, snapshot_cursor& cursor,
                 chunk_builder& chunk)
{
    const bool own_stage = cursor.stage == snapshot_stage::own_domain;
    const auto& entries = table.entries();
    for (auto it = entries.upper_bound(cursor.after); it != entries.end(); ++it) {
        const member_record& record = it->second.record;
        if (!is_present(record) || (record.failure_domain == requester) != own_stage) {
            continue;
        }
        if (!chunk.add(record)) {
            return false;
        }
        cursor.after = record.address;
    }
    return true;
}

bool add_payloads(const detail::payload_store& store, snapshot_cursor& cursor, chunk_builder& chunk)
{
    const auto& latest = store.latest();
    for (auto it = latest.upper_bound(cursor.after_key); it != latest.end(); ++it) {
        if (!chunk.add(it->second)) {
            return false;
        }
        cursor.after_key = it->first;
    }
    return true;
}

snapshot_chunk build_chunk(const detail::member_table& table, const detail::payload_store& store,
                           const snapshot_request& request)
{
    snapshot_cursor cursor = request.cursor;
    chunk_builder chunk;
    const domain_id requester = request.self.failure_domain;
    if (cursor.stage == snapshot_stage::own_domain &&
        add_members(table, requester, cursor, chunk)) {
        cursor = {snapshot_stage::other_domains, {}, {}};
    }
    if (cursor.stage == snapshot_stage::other_domains &&
        add_members(table, requester, cursor, chunk)) {
        cursor = {snapshot_stage::payloads, {}, {}};
    }
    if (cursor.stage == snapshot_stage::payloads && add_payloads(store, cursor, chunk)) {
        cursor = {snapshot_stage::complete, {}, {}};
    }
    return {cursor, chunk.take()};
}

} // namespace

void gossip_member::advance_fetch(time_point now)
{
    if (!m_fetch || now < m_fetch->next_request) {
        return;
    }
    if (m_fetch->waiting || !m_fetch->peer) {
        m_fetch->peer = choose_snapshot_peer();
    }
    m_fetch->next_request = now + m_settings.snapshot_timeout;
    if (m_fetch->peer) {
        m_fetch->waiting = true;
        send(*m_fetch->peer, snapshot_request{m_self, m_fetch->cursor});
    }
}

std::optional<endpoint> gossip_member::choose_snapshot_peer()
{
    std::vector<endpoint> unknown;
    for (const endpoint& seed : m_seeds) {
        if (seed != m_self.address && m_table.find(seed) == nullptr) {
            unknown.push_back(seed);
        }
    }
    const bool ask_peer = m_table.peers().size() > 0 && m_random.chance(known_peer_share);
    if (!unknown.empty() && !ask_peer) {
        return unknown[m_random.below(unknown.size())];
    }
    const auto any = [](const endpoint&) { return true; };
    const auto known = m_table.peers().sample(1, m_random, any);
    return known.empty() ? std::nullopt : std::optional{known.front()};
}

void gossip_member::receive(const endpoint& from, const snapshot_request& content, time_point now)
{
    learn(content.self, now);
    if (m_snapshot_budget.allows(0)) {
        send(from, build_chunk(m_table, m_payloads, content));
    }
}

void gossip_member::receive(const endpoint& from, const snapshot_chunk& content, time_point now)
{
    if (!m_fetch || m_fetch->peer != from || !m_fetch->waiting) {
        return;
    }
    for (const rumour& item : content.news) {
        const auto* record = std::get_if<member_record>(&item);
        if (record != nullptr && record->address != m_self.address) {
            // Others know it already: taken without being spread again.
            if (m_table.apply(*record, now)) {
                m_actions.emplace_back(member_changed{*record});
            }
        }
        else if (const auto* value = std::get_if<payload>(&item)) {
            if (m_payloads.accept(*value, now)) {
                m_actions.emplace_back(payload_received{*value});
            }
        }
        else {
            refute(*record, now);
        }
    }
    m_table_changed = now;
    m_fetch->waiting = false;
    m_fetch->next_request = now + m_settings.snapshot_interval;
    if (m_fetch->cursor.stage != content.next.stage) {
        m_actions.emplace_back(snapshot_progressed{content.next.stage});
    }
    m_fetch->cursor = content.next;
    if (content.next.stage == snapshot_stage::complete) {
        m_fetch.reset();
    }
}

void gossip_member::compare_digest(const endpoint& from, std::uint32_t theirs, time_point now)
{
    if (theirs == digest()) {
        m_mismatches = 0;
        return;
    }
    m_mismatches += 1;
    const bool settled = now - m_table_changed >= m_settings.settle_time;
    if (m_mismatches < mismatches_until_sync || !settled || now < m_next_sync || m_fetch ||
        !m_budget.allows(0)) {
        return;
    }
    m_next_sync = now + m_settings.sync_interval;
    sync_request request;
    for (std::size_t bucket = 0; bucket < digest_bucket_count; ++bucket) {
        request.buckets[bucket] =
            m_table.digest().parts()[bucket] ^ m_payloads.digest().parts()[bucket];
    }
    send(from, request);
}

void gossip_member::receive(const endpoint& from, const sync_request& content, time_point /*now*/)
{
    if (!m_budget.allows(0)) {
        return;
    }
    const auto differs = [&](std::size_t bucket) {
        const std::uint32_t own =
            m_table.digest().parts()[bucket] ^ m_payloads.digest().parts()[bucket];
        return own != content.buckets[bucket];
    };
    chunk_builder chunk;
    for (const auto& [key, value] : m_payloads.latest()) {
        if (differs(detail::payload_store::bucket_of(key)) && !chunk.add(value)) {
            break;
        }
    }
    // A random start, so that repeated requests come to every record.
    const auto& entries = m_table.entries();
    auto it =
        std::next(entries.begin(), static_cast<std::ptrdiff_t>(m_random.below(entries.size())));
    for (std::size_t seen = 0; seen < entries.size(); ++seen, ++it) {
        it = it == entries.end() ? entries.begin() : it;
        if (differs(detail::member_table::bucket_of(it->first)) && !chunk.add(it->second.record)) {
            break;
        }
    }
    if (rumours news = chunk.take(); !news.empty()) {
        send(from, gossip{std::move(news)});
    }
}

} // namespace gypsumstep::membership
