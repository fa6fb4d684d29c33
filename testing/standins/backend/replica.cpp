#include "replica.h"

#include <QTimer>

#include <nlohmann/json.hpp>

#include <algorithm>

#include <unistd.h>

namespace gypsumstep::standin {
namespace {

constexpr auto apply_retry = std::chrono::milliseconds{2};
constexpr std::int64_t unknown_age_ms = -1;

} // namespace

time_point steady_now()
{
    const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
    return time_point{std::chrono::duration_cast<duration>(since_start)};
}

replica::replica(replica_options options) : m_options{std::move(options)}
{
    rebuild(0);
}

bool replica::is_primary() const
{
    return m_primary && granted_term() == m_term;
}

duration replica::age() const
{
    if (is_primary()) {
        return duration{0};
    }
    return m_current_at ? steady_now() - *m_current_at : duration::max();
}

std::string replica::status(const std::string& answer) const
{
    nlohmann::json status;
    status["answer"] = answer;
    status["server"] = m_options.name;
    status["role"] = is_primary() ? "primary" : "replica";
    status["term"] = m_term.value();
    status["primary"] = is_primary() ? m_options.name : m_primary_name;
    status["granted"] = granted_term().value();
    status["contact_age_us"] = contact_age().count();
    status["last"] = to_string(last());
    status["applied"] = to_string(applied());
    status["held"] = to_string(m_held);
    status["opening"] = to_string(m_opening);
    const duration old = age();
    status["age_us"] = old == duration::max() ? unknown_age_ms : old.count();
    return status.dump();
}

duration replica::contact_age() const
{
    if (!is_primary()) {
        return steady_now() - m_contact_at;
    }
    std::vector<time_point> seen{steady_now()};
    for (const auto& [name, at] : m_replica_seen) {
        seen.push_back(at);
    }
    seen.resize(std::max<std::size_t>(seen.size(), m_options.group_size), m_contact_at);
    std::sort(seen.begin(), seen.end(), std::greater<>{});
    return steady_now() - seen[m_options.group_size / 2];
}

bool replica::grant(term wanted, const failover::claim_id& claim)
{
    const bool higher = wanted > granted_term();
    const bool granted = m_register.grant(wanted, claim);
    if (granted && higher) {
        fence();
    }
    return granted;
}

void replica::fence()
{
    m_primary = false;
    m_current_at.reset();
}

failover::promotion_answer replica::promote(term wanted, const failover::claim_id& claim,
                                            log_position at_least)
{
    const bool in_office = is_primary() && m_term == wanted;
    if (!in_office && wanted <= m_term) {
        return failover::promotion_answer::refused;
    }
    const auto answer = m_register.promote(wanted, claim, m_log.last(), at_least);
    if (in_office || answer != failover::promotion_answer::promoted) {
        return answer;
    }
    apply_all();
    m_term = wanted;
    m_primary = true;
    m_contact_at = steady_now();
    m_replica_positions.clear();
    m_replica_seen.clear();
    m_to_apply.clear();
    m_held = {};
    m_opening = commit({});
    return answer;
}

bool replica::follow(term wanted, const std::string& primary)
{
    if (wanted < m_term || (wanted == m_term && is_primary()) || !m_register.accept_entry(wanted)) {
        return false;
    }
    m_term = wanted;
    m_primary = false;
    m_primary_name = primary;
    m_contact_at = steady_now();
    m_primary_mark.reset();
    return true;
}

log_position replica::commit(std::vector<std::string> statements)
{
    const log_position position = m_log.append({m_term, std::move(statements)});
    m_applied = position.index;
    update_held();
    Q_EMIT log_grew();
    return position;
}

void replica::replica_holds(const std::string& name, log_position position)
{
    if (!is_primary()) {
        return;
    }
    m_replica_positions[name] = position;
    m_replica_seen[name] = steady_now();
    update_held();
}

void replica::update_held()
{
    std::vector<std::uint64_t> held{m_log.last().index};
    for (const auto& [name, position] : m_replica_positions) {
        held.push_back(m_log.contains(position) ? position.index : 0);
    }
    const std::size_t majority = m_options.group_size / 2 + 1;
    if (held.size() < majority) {
        return;
    }
    std::sort(held.begin(), held.end(), std::greater<>{});
    const log_position position = m_log.position_at(held[majority - 1]);
    // Entries of earlier terms count only once one of this term follows them.
    if (position.entry_term == m_term && position > m_held) {
        m_held = position;
        Q_EMIT held_moved();
    }
}

bool replica::take_entries(term from, log_position previous, const std::vector<log_entry>& entries)
{
    if (from != granted_term() || from != m_term || m_primary || !m_log.contains(previous)) {
        return false;
    }
    std::uint64_t index = previous.index;
    for (const log_entry& entry : entries) {
        ++index;
        if (m_log.position_at(index) == log_position{entry.entry_term, index}) {
            continue;
        }
        if (index <= m_log.last().index) {
            const bool undo = index <= m_applied;
            m_log.truncate(index - 1);
            if (undo) {
                rebuild(index - 1);
            }
        }
        m_log.append(entry);
        schedule_apply(index);
    }
    return true;
}

void replica::schedule_apply(std::uint64_t index)
{
    m_to_apply.emplace_back(index, steady_now() + m_options.apply_lag);
    const auto delay = std::chrono::ceil<std::chrono::milliseconds>(m_options.apply_lag);
    QTimer::singleShot(delay, Qt::PreciseTimer, this, [this] { apply_ready(); });
}

void replica::apply_ready()
{
    while (!m_to_apply.empty() && m_to_apply.front().second <= steady_now()) {
        const std::uint64_t index = m_to_apply.front().first;
        if (index != m_applied + 1 || index > m_log.last().index) {
            m_to_apply.pop_front();
            continue;
        }
        for (const std::string& sql : m_log.at(index).statements) {
            if (m_writer->run(sql, {}, true).status == statement_status::locked) {
                QTimer::singleShot(apply_retry, this, [this] { apply_ready(); });
                return;
            }
        }
        m_applied = index;
        m_to_apply.pop_front();
    }
    if (m_primary_mark && applied() >= m_primary_mark->first) {
        m_current_at = m_primary_mark->second;
        m_primary_mark.reset();
    }
}

void replica::apply_all()
{
    for (std::uint64_t index = m_applied + 1; index <= m_log.last().index; ++index) {
        for (const std::string& sql : m_log.at(index).statements) {
            if (m_writer->run(sql, {}, true).status == statement_status::locked) {
                // A reader's open transaction is in the way; a new primary does not wait for it.
                rebuild(m_log.last().index);
                return;
            }
        }
        m_applied = index;
    }
}

void replica::primary_was_at(log_position position, time_point asked_at)
{
    m_contact_at = asked_at;
    if (applied() >= position) {
        m_current_at = asked_at;
        m_primary_mark.reset();
    }
    else if (!m_primary_mark) {
        m_primary_mark = {position, asked_at};
    }
}

void replica::rebuild(std::uint64_t index)
{
    ++m_generation;
    m_database_name =
        m_options.name + "-" + std::to_string(::getpid()) + "-" + std::to_string(m_generation);
    m_writer = std::make_unique<database_session>(m_database_name);
    for (std::uint64_t i = 1; i <= index; ++i) {
        for (const std::string& sql : m_log.at(i).statements) {
            (void)m_writer->run(sql, {}, true);
        }
    }
    m_applied = index;
    Q_EMIT data_replaced();
}

} // namespace gypsumstep::standin
