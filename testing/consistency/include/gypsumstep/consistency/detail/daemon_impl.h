/// \file
/// Members of daemon.
#pragma once

#include "gypsumstep/consistency/daemon.h"
#include "gypsumstep/failover/detail/group_watcher_impl.h"

namespace gypsumstep::consistency {

inline constexpr duration tick_interval{20'000};
inline constexpr duration answer_timeout{500'000};        ///< for a write sent or executed
inline constexpr duration lookup_interval{100'000};       ///< between questions for one key
inline constexpr duration retry_when_idle{20'000};        ///< while no primary is known
inline constexpr std::uint32_t attempts_per_request = 16; ///< numbered by the low bits

template <class Rules>
daemon<Rules>::daemon(config settings, surroundings& world, oracle& checks,
                      std::vector<server*> servers, fake_platform& platform)
    : proc{world, 10 + settings.number}, m_config{std::move(settings)}, m_world{world},
      m_checks{checks}, m_servers{std::move(servers)}, m_platform{platform}
{
}

template <class Rules>
void daemon<Rules>::boot()
{
    std::vector<server_id> ids;
    for (const server* one : m_servers) {
        ids.push_back(one->id());
    }
    m_watcher.emplace(daemon_id{run()}, ids, m_config.failover,
                      random_source{hash_combine(run(), m_world.random.below(1'000'000))});
    m_tracker.emplace(ids);
    m_requests.clear();
    m_reads.clear();
    tell(failover::homed_servers{m_config.homes});
    beat();
}

template <class Rules>
void daemon<Rules>::beat()
{
    tell(failover::tick{});
    advance();
    proc.after(tick_interval, [this] { beat(); });
}

template <class Rules>
bool daemon<Rules>::is_home_of(server_id wanted) const
{
    return std::find(m_config.homes.begin(), m_config.homes.end(), wanted) != m_config.homes.end();
}

template <class Rules>
void daemon<Rules>::tell(const failover::event& what)
{
    const term before = m_watcher->known_primary().primary_term;
    const auto todo = m_watcher->step(what, proc.now());
    m_tracker->observe_term(m_watcher->highest_term());
    for (const auto& one : todo) {
        std::visit([this](const auto& value) { this->perform(value); }, one);
    }
    if (m_watcher->known_primary().primary_term > before) {
        m_checks.trace(proc.now(), "learnt", m_config.number,
                       to_string(m_watcher->known_primary()));
        for (auto& [id, one] : m_requests) {
            one.next = proc.now();
        }
        advance();
    }
}

template <class Rules>
void daemon<Rules>::perform(const failover::request_grant& what)
{
    m_checks.trace(proc.now(), "ask_grant", what.server.value(),
                   to_string(what.claim) + " term " + std::to_string(what.requested_term.value()));
    server& to = at(what.server);
    proc.send(to.proc, [this, &to, what] {
        const auto answer = to.grant(what);
        to.proc.send(proc, [this, answer] { tell(answer); });
    });
}

template <class Rules>
void daemon<Rules>::perform(const failover::promote& what)
{
    m_checks.trace(proc.now(), "promote", what.server.value(),
                   to_string(what.claim) + " term " + std::to_string(what.requested_term.value()) +
                       " at least " + to_string(what.min_position));
    server& to = at(what.server);
    proc.send(to.proc, [this, &to, what] {
        const auto answer = to.promote(what);
        to.proc.send(proc, [this, answer] { tell(answer); });
    });
}

template <class Rules>
void daemon<Rules>::perform(const failover::follow_primary& what)
{
    server& to = at(what.server);
    proc.send(to.proc, [&to, what] { to.follow(what.primary); });
}

template <class Rules>
void daemon<Rules>::perform(const failover::read_claim&)
{
    proc.send(m_platform.proc, [this] {
        auto answer = std::make_shared<failover::claim_read>();
        m_platform.serve(
            proc,
            [answer](const failover::claim_row& row) {
                *answer = {failover::platform_status::done, row};
            },
            [this, answer] { tell(*answer); });
    });
}

template <class Rules>
void daemon<Rules>::perform(const failover::write_claim& what)
{
    proc.send(m_platform.proc, [this, what] {
        auto answer = std::make_shared<failover::claim_written>();
        m_platform.serve(
            proc,
            [answer, what](failover::claim_row& row) {
                const bool matches = row.version + 1 == what.row.version;
                if (matches) {
                    row = what.row;
                }
                answer->claim = what.row.claim;
                answer->status =
                    matches ? failover::platform_status::done : failover::platform_status::conflict;
                answer->row = row;
            },
            [this, answer] { tell(*answer); });
    });
}

template <class Rules>
void daemon<Rules>::perform(const failover::send_suspicion& what)
{
    m_checks.trace(proc.now(), "vote", what.vote.server.value(),
                   std::string{what.vote.suspected ? "failed " : "works "} +
                       to_string(what.vote.primary));
    for (daemon* peer : m_daemons) {
        if (peer != this) {
            proc.send(peer->proc, [peer, what] { peer->tell(what.vote); });
        }
    }
}

template <class Rules>
void daemon<Rules>::perform(const failover::announce& what)
{
    for (daemon* peer : m_daemons) {
        if (peer != this && (!what.to || what.to->value() == peer->run())) {
            proc.send(peer->proc,
                      [peer, what] { peer->tell(failover::announcement{what.primary}); });
        }
    }
}

template <class Rules>
void daemon<Rules>::perform(const failover::order_finished& what)
{
    if (on_order_finished) {
        on_order_finished(what);
    }
}

template <class Rules>
void daemon<Rules>::report(const commit::server_report& report)
{
    m_tracker->report(report);
    for (auto& [id, one] : m_requests) {
        if (one.at == phase::executed) {
            one.next = proc.now();
        }
    }
    advance();
}

template <class Rules>
void daemon<Rules>::write(std::uint64_t key, std::optional<term> sent_before, time_point deadline,
                          const write_callback& done)
{
    const std::uint64_t id = run() * 1'000'000 + ++m_ids;
    request& made = m_requests[id];
    made.id = id;
    made.key = key;
    made.attempt = static_cast<std::uint32_t>(hash_combine(id, key)) / attempts_per_request *
                   attempts_per_request;
    made.deadline = deadline;
    made.done = done;
    m_budget.add_new_request();
    made.sent_in = sent_before.value_or(term{});
    enter(made, !sent_before             ? phase::fresh
                : *sent_before == term{} ? phase::bounding
                                         : phase::lookup);
    advance();
}

template <class Rules>
typename daemon<Rules>::request* daemon<Rules>::find(std::uint64_t id)
{
    const auto found = m_requests.find(id);
    const bool open = found != m_requests.end() && found->second.done;
    return open ? &found->second : nullptr;
}

template <class Rules>
void daemon<Rules>::enter(request& what, phase next)
{
    what.at = next;
    what.since = proc.now();
    what.next = proc.now();
}

template <class Rules>
void daemon<Rules>::advance()
{
    for (auto& [id, one] : m_requests) {
        if (one.done && proc.now() >= one.next) {
            advance(one);
        }
    }
    std::erase_if(m_requests, [](const auto& entry) { return !entry.second.done; });
    release_reads();
}

template <class Rules>
void daemon<Rules>::advance(request& what)
{
    if (proc.now() >= what.deadline) {
        const bool never_sent = what.at == phase::fresh && what.sent_in == term{};
        const term bound = what.at == phase::bounding ? term{} : what.sent_in;
        finish(what, {never_sent ? commit::outcome::not_run : commit::outcome::unknown, {}, bound});
        return;
    }
    switch (what.at) {
    case phase::fresh:
        send(what);
        break;
    case phase::sent:
        resend_blindly(what);
        enter(what, phase::lookup);
        break;
    case phase::executed:
        confirm(what);
        break;
    case phase::bounding:
        bound(what);
        break;
    case phase::lookup:
        look_up(what);
        break;
    }
}

/// The term is fixed before the deadline is checked: a pause in between does no harm.
template <class Rules>
void daemon<Rules>::send(request& what)
{
    const failover::primary_view primary = m_watcher->known_primary();
    what.next = proc.now() + retry_when_idle;
    if (primary.primary_term == term{} || m_watcher->highest_term() > primary.primary_term) {
        return;
    }
    enter(what, phase::sent);
    what.next = proc.now() + answer_timeout;
    what.sent_in = std::max(what.sent_in, primary.primary_term);
    ++what.attempt;
    server& to = at(primary.server);
    const write_request message{what.id * attempts_per_request +
                                    what.attempt % attempts_per_request,
                                to.connect(), primary.primary_term, what.key, what.attempt};
    proc.send(to.proc, [this, &to, message, id = what.id] {
        const auto answer = to.write(message);
        if (answer) {
            to.proc.send(proc, [this, id, attempt = message.attempt, position = *answer] {
                position ? executed(id, attempt, *position) : refused(id, attempt);
            });
        }
    });
}

/// Sends again without asking, if the rules allow it.
template <class Rules>
void daemon<Rules>::resend_blindly(request& what)
{
    const commit::retry_request again{{true, is_idempotent(what.key)}, what.retries, what.deadline};
    if (m_budget.decide<typename Rules::commit>(again, proc.now(), m_world.random)) {
        ++what.retries;
        send(what);
    }
}

template <class Rules>
void daemon<Rules>::refused(std::uint64_t id, std::uint32_t attempt)
{
    request* what = find(id);
    if (what != nullptr && what->at == phase::sent && what->attempt == attempt &&
        what->retries == 0) {
        // Refused before it ran, on a connection that carries it once: never sent.
        what->sent_in = term{};
        enter(*what, phase::fresh);
        what->next = proc.now() + retry_when_idle;
    }
}

template <class Rules>
void daemon<Rules>::executed(std::uint64_t id, std::uint32_t attempt, const log_position& position)
{
    request* what = find(id);
    if (what != nullptr && what->at == phase::sent && what->attempt == attempt) {
        what->position = position;
        enter(*what, phase::executed);
        advance();
    }
}

template <class Rules>
void daemon<Rules>::confirm(request& what)
{
    what.next = proc.now() + tick_interval;
    switch (m_tracker->check(what.position)) {
    case commit::confirmation::acknowledged:
        finish(what, {commit::outcome::ran, what.position, {}});
        break;
    case commit::confirmation::superseded:
        enter(what, phase::lookup);
        break;
    case commit::confirmation::waiting:
        if (proc.now() >= what.since + answer_timeout) {
            enter(what, phase::lookup);
        }
        break;
    }
}

template <class Rules>
void daemon<Rules>::bound(request& what)
{
    if (what.bounded_by.size() >= commit::majority_of(m_servers.size())) {
        enter(what, phase::lookup);
        return;
    }
    what.next = proc.now() + lookup_interval;
    for (server* to : m_servers) {
        proc.send(to->proc, [this, to, id = what.id] {
            to->proc.send(proc, [this, id, answer = to->report()] {
                request* asked = find(id);
                if (asked != nullptr && asked->at == phase::bounding) {
                    asked->bounded_by.insert(answer.server);
                    asked->sent_in = std::max(asked->sent_in, answer.granted);
                }
            });
        });
    }
}

template <class Rules>
void daemon<Rules>::ask_reports()
{
    for (server* to : m_servers) {
        proc.send(to->proc, [this, to] {
            to->proc.send(proc, [this, answer = to->report()] { report(answer); });
        });
    }
}

template <class Rules>
void daemon<Rules>::look_up(request& what)
{
    what.next = proc.now() + lookup_interval;
    const failover::primary_view primary = m_watcher->known_primary();
    if (primary.primary_term == term{}) {
        return;
    }
    ++m_checks.counts.lookups;
    ask_reports();
    server& to = at(primary.server);
    proc.send(to.proc, [this, &to, id = what.id, key = what.key, sent_in = what.sent_in] {
        if (const auto found = to.look_up(key, sent_in)) {
            to.proc.send(proc, [this, id, found = *found] { looked_up(id, found); });
        }
    });
}

template <class Rules>
void daemon<Rules>::looked_up(std::uint64_t id, const commit::key_lookup& found)
{
    request* what = find(id);
    if (what == nullptr || what->at != phase::lookup || found.sent_term != what->sent_in) {
        return;
    }
    const commit::outcome outcome = commit::resolve(found, *m_tracker);
    if (outcome == commit::outcome::ran) {
        finish(*what, {outcome, *found.key_position, {}});
    }
    else if (outcome == commit::outcome::not_run) {
        finish(*what, {outcome, {}, {}});
    }
    advance();
}

template <class Rules>
void daemon<Rules>::finish(request& what, const write_result& result)
{
    if (result.outcome == commit::outcome::ran) {
        m_checks.acknowledged(proc.now(), what.key, result.position);
    }
    else if (result.outcome == commit::outcome::not_run) {
        m_checks.not_run(proc.now(), what.key, what.attempt);
    }
    else {
        ++m_checks.counts.unknown;
        m_checks.trace(proc.now(), "unknown", what.key, "");
    }
    m_world.queue.after(1ms, [done = std::exchange(what.done, nullptr), result] { done(result); });
}

template <class Rules>
void daemon<Rules>::read(const log_position& token, time_point deadline, const read_callback& done)
{
    if (proc.now() >= deadline) {
        m_world.queue.after(1ms, [done] { done({}); });
        return;
    }
    server& to = *m_servers[m_world.random.below(m_servers.size())];
    auto answered = std::make_shared<bool>(false);
    proc.send(to.proc, [this, &to, token, deadline, done, answered] {
        to.proc.send(proc, [this, token, deadline, done, answered, answer = to.read(token),
                            replica = !to.in_office()] {
            if (answer.served && !std::exchange(*answered, true)) {
                m_reads.push_back({answer, token, deadline, done, replica});
                release_reads();
            }
        });
    });
    proc.after(50ms, [this, token, deadline, done, answered] {
        if (!std::exchange(*answered, true)) {
            read(token, deadline, done);
        }
    });
}

/// An answer is held until no failover can drop what it shows.
template <class Rules>
void daemon<Rules>::release_reads()
{
    std::vector<held_read> waiting;
    for (held_read& one : std::exchange(m_reads, {})) {
        if (!Rules::hold_reads ||
            m_tracker->check(one.answer.applied) == commit::confirmation::acknowledged) {
            m_checks.counts.replica_reads += one.from_replica ? 1 : 0;
            m_world.queue.after(1ms, [done = one.done, answer = one.answer] { done(answer); });
        }
        else if (m_tracker->check(one.answer.applied) == commit::confirmation::superseded) {
            read(one.token, one.deadline, one.done);
        }
        else if (proc.now() >= one.deadline) {
            m_world.queue.after(1ms, [done = one.done] { done({}); });
        }
        else {
            waiting.push_back(std::move(one));
        }
    }
    m_reads.insert(m_reads.end(), waiting.begin(), waiting.end());
}

} // namespace gypsumstep::consistency
