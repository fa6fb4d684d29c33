#include "gypsumstep/homes/share_ledger.h"

#include <algorithm>

namespace gypsumstep::homes {

share_ledger::share_ledger(const ledger_settings& settings, random_source random)
    : m_settings{settings}, m_random{random}
{
}

ledger_actions share_ledger::step(const ledger_event& input, time_point now)
{
    std::visit([&](const auto& kind) { handle(kind, now); }, input);
    ledger_actions out;
    const auto settle_one = [&](server_id server) {
        const auto found = m_entries.find(server);
        if (found == m_entries.end()) {
            return;
        }
        settle(server, found->second, now, out);
        const server_share& share = found->second.share;
        if (share == server_share{}) {
            m_entries.erase(found);
        }
    };
    if (std::holds_alternative<ledger_tick>(input)) {
        std::vector<server_id> due;
        for (const auto& [server, state] : m_entries) {
            if (state.retry_at && *state.retry_at <= now) {
                due.push_back(server);
            }
        }
        std::ranges::for_each(due, settle_one);
        return out;
    }
    std::visit(
        [&](const auto& kind) {
            if constexpr (requires { kind.server; }) {
                settle_one(kind.server);
            }
        },
        input);
    return out;
}

void share_ledger::handle(const duty_changed& input, time_point /*now*/)
{
    entry& state = m_entries[input.server];
    state.share.duty = input.duty;
    state.other = input.other;
    state.limits = input.limits;
    state.backoff = duration{0};
    state.retry_at.reset();
}

void share_ledger::handle(const connect_finished& input, time_point now)
{
    entry& state = m_entries[input.server];
    state.share.opening -= std::min(state.share.opening, 1U);
    if (input.outcome == connect_outcome::opened) {
        state.share.held += 1;
        state.backoff = duration{0};
        state.retry_at.reset();
        return;
    }
    back_off(state, now);
}

void share_ledger::handle(const connection_lost& input, time_point now)
{
    entry& state = m_entries[input.server];
    state.share.held -= std::min(state.share.held, 1U);
    back_off(state, now);
}

void share_ledger::handle(const release_received& input, time_point /*now*/)
{
    const auto found = m_entries.find(input.server);
    if (found != m_entries.end()) {
        found->second.backoff = duration{0};
        found->second.retry_at.reset();
    }
}

void share_ledger::handle(const statement_finished& input, time_point /*now*/)
{
    entry& state = m_entries[input.server];
    state.share.running -= std::min(state.share.running, 1U);
}

void share_ledger::handle(const ledger_tick& /*input*/, time_point /*now*/) {}

void share_ledger::back_off(entry& state, time_point now)
{
    state.backoff = state.backoff == duration{0}
                        ? m_settings.first_backoff
                        : std::min(state.backoff * 2, m_settings.longest_backoff);
    // Spread over half of the wait, so that two homes do not knock in step.
    state.retry_at = now + m_random.between(state.backoff / 2, state.backoff);
}

void share_ledger::settle(server_id server, entry& state, time_point now, ledger_actions& out) const
{
    close_surplus(server, state, out);
    if (state.retry_at && *state.retry_at > now) {
        return;
    }
    state.retry_at.reset();
    // After a refusal, a single attempt tells whether the server has room again.
    const std::uint32_t at_once = state.backoff == duration{0} ? m_settings.concurrent_connects : 1;
    server_share& share = state.share;
    const std::uint32_t planned = planned_connections(state.limits, share.duty);
    while (share.held + share.opening < planned && share.opening < at_once) {
        share.opening += 1;
        out.emplace_back(open_connection{server});
    }
}

void share_ledger::close_surplus(server_id server, entry& state, ledger_actions& out) const
{
    server_share& share = state.share;
    const std::uint32_t planned = planned_connections(state.limits, share.duty);
    // A connection whose slot is in use is closed after the statement.
    while (share.held > planned && slots_for(state.limits, share.held - 1) >= share.running) {
        share.held -= 1;
        state.released = true;
        out.emplace_back(close_connection{server});
    }
    if (state.released && state.other && share.held <= planned) {
        state.released = false;
        out.emplace_back(send_release{server, *state.other});
    }
}

bool share_ledger::start_statement(server_id server)
{
    const auto found = m_entries.find(server);
    if (found == m_entries.end() || found->second.share.running >= slots(server)) {
        return false;
    }
    found->second.share.running += 1;
    return true;
}

std::uint32_t share_ledger::slots(server_id server) const
{
    const auto found = m_entries.find(server);
    if (found == m_entries.end() || found->second.share.duty == home_duty::none) {
        return 0;
    }
    return slots_for(found->second.limits, found->second.share.held);
}

server_share share_ledger::share(server_id server) const
{
    const auto found = m_entries.find(server);
    return found == m_entries.end() ? server_share{} : found->second.share;
}

std::optional<time_point> share_ledger::next_wakeup() const
{
    std::optional<time_point> next;
    for (const auto& [server, state] : m_entries) {
        if (state.retry_at && (!next || *state.retry_at < *next)) {
            next = state.retry_at;
        }
    }
    return next;
}

} // namespace gypsumstep::homes
