#include "gypsumstep/intake/ledger.h"

#include <algorithm>
#include <tuple>

namespace gypsumstep::intake {
namespace {

/// Closing a connection that holds less than this frees too little to help the others.
constexpr std::size_t min_bytes_to_close = 1024;

/// After closing for memory, the connections hold at most this share of the bound, so that not
/// each further byte closes a connection.
constexpr double share_after_closing = 0.9;

/// Share of the bound above which clients are not read ahead of their answers.
constexpr double pressure_share = 0.5;

std::size_t share_of(std::size_t bytes, double share)
{
    return static_cast<std::size_t>(static_cast<double>(bytes) * share);
}

} // namespace

const char* to_string(closing cause)
{
    switch (cause) {
    case closing::start_overdue:
        return "start_overdue";
    case closing::message_overdue:
        return "message_overdue";
    case closing::answers_unread:
        return "answers_unread";
    case closing::memory:
        return "memory";
    }
    return "unknown";
}

void ledger::add(connection_id id, time_point now)
{
    connection& added = m_connections[id];
    added.opened_at = now;
    watch(id, added);
}

void ledger::remove(connection_id id)
{
    if (const auto found = m_connections.find(id); found != m_connections.end()) {
        m_held -= found->second.held();
        m_connections.erase(found);
        m_watched.erase(id);
    }
}

void ledger::set_started(connection_id id)
{
    if (const auto found = m_connections.find(id); found != m_connections.end()) {
        found->second.started = true;
        watch(id, found->second);
    }
}

void ledger::set_input(connection_id id, std::size_t bytes, bool completed, time_point now)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    connection& member = found->second;
    if (completed || member.input == 0) {
        member.message_since = now;
    }
    m_held = m_held - member.input + bytes;
    member.input = bytes;
    watch(id, member);
}

void ledger::add_statement(connection_id id, std::size_t bytes)
{
    if (const auto found = m_connections.find(id); found != m_connections.end()) {
        found->second.queued.push_back(bytes);
        found->second.statements += bytes;
        m_held += bytes;
        watch(id, found->second);
    }
}

void ledger::remove_statement(connection_id id, time_point now)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end() || found->second.queued.empty()) {
        return;
    }
    connection& member = found->second;
    const std::size_t bytes = member.queued.front();
    member.queued.erase(member.queued.begin());
    member.statements -= bytes;
    m_held -= bytes;
    member.message_since = now;
    watch(id, member);
}

void ledger::set_unread(connection_id id, std::size_t bytes, time_point now)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    connection& member = found->second;
    if (member.unread == 0 || bytes < member.unread) {
        member.unread_since = now;
    }
    m_held = m_held - member.unread + bytes;
    member.unread = bytes;
    watch(id, member);
}

void ledger::set_kept(connection_id id, std::size_t bytes)
{
    if (const auto found = m_connections.find(id); found != m_connections.end()) {
        m_held = m_held - found->second.kept + bytes;
        found->second.kept = bytes;
    }
}

bool ledger::may_read(connection_id id) const
{
    const auto found = m_connections.find(id);
    return found != m_connections.end() && may_read(found->second);
}

bool ledger::may_read(const connection& member) const
{
    if (member.unread >= m_limits.unread_bytes) {
        return false;
    }
    return member.queued.empty() || (member.queued.size() < m_limits.statements_ahead &&
                                     member.statements < m_limits.ahead_bytes &&
                                     m_held <= share_of(m_limits.max_bytes, pressure_share));
}

void ledger::watch(connection_id id, const connection& member)
{
    if (!member.started || member.input > 0 || member.unread > 0) {
        m_watched.insert(id);
    }
    else {
        m_watched.erase(id);
    }
}

std::vector<verdict> ledger::over_bound() const
{
    if (!is_over()) {
        return {};
    }
    struct candidate {
        int rank{0};
        std::int64_t order{0}; ///< larger first within a rank
        connection_id id;
        std::size_t bytes{0};
    };
    std::vector<candidate> candidates;
    for (const auto& [id, member] : m_connections) {
        if (member.held() < min_bytes_to_close) {
            continue;
        }
        candidate next;
        next.id = id;
        next.bytes = member.held();
        next.order = static_cast<std::int64_t>(member.held());
        if (member.is_busy()) {
            next.rank = 2;
        }
        else if (member.input > 0) {
            next.order = member.message_since.time_since_epoch().count();
        }
        else {
            next.rank = 1;
        }
        candidates.push_back(next);
    }
    std::sort(candidates.begin(), candidates.end(), [](const candidate& a, const candidate& b) {
        // Ids grow, so that of two messages of the same time the newer connection's comes first.
        return std::tuple{a.rank, -a.order, b.id.value()} <
               std::tuple{b.rank, -b.order, a.id.value()};
    });
    const std::size_t target = share_of(m_limits.max_bytes, share_after_closing);
    std::size_t left = m_held;
    std::vector<verdict> closed;
    for (const candidate& next : candidates) {
        if (left <= target) {
            break;
        }
        closed.push_back({next.id, closing::memory});
        left -= next.bytes;
    }
    return closed;
}

std::optional<closing> ledger::overdue_cause(const connection& member, time_point now) const
{
    if (!member.started && now - member.opened_at >= m_limits.start_timeout) {
        return closing::start_overdue;
    }
    if (member.unread > 0 && now - member.unread_since >= m_limits.unread_timeout) {
        return closing::answers_unread;
    }
    // While the process itself does not read, the client cannot complete its message.
    if (member.started && member.input > 0 && may_read(member) && !member.is_busy() &&
        now - member.message_since >= m_limits.message_timeout) {
        return closing::message_overdue;
    }
    return std::nullopt;
}

std::vector<verdict> ledger::overdue(time_point now) const
{
    std::vector<verdict> closed;
    for (const connection_id id : m_watched) {
        if (const auto cause = overdue_cause(m_connections.at(id), now)) {
            closed.push_back({id, *cause});
        }
    }
    return closed;
}

std::optional<connection_id> ledger::oldest_unstarted(time_point now, duration age) const
{
    std::optional<connection_id> oldest;
    time_point since = now - age;
    for (const connection_id id : m_watched) {
        const connection& member = m_connections.at(id);
        if (!member.started && member.opened_at <= since && (!oldest || member.opened_at < since)) {
            oldest = id;
            since = member.opened_at;
        }
    }
    return oldest;
}

} // namespace gypsumstep::intake
