// How statements end: answers, retries of what did not run, and promises.
#include "gypsumstep/proxy/proxy.h"

#include <algorithm>

namespace gypsumstep::proxy {
namespace {

using detail::link_phase;
using statement::transaction_state;

/// Runs of one statement after answers that say it did not run.
constexpr std::uint32_t max_attempts = 30;

/// Reads that a server failed are sent to another one this often.
constexpr std::uint32_t max_failed_reads = 2;

/// Weight of a new measurement of a server's answer times.
constexpr std::int64_t smoothing = 8;

/// Share of reads that may be sent to a second server.
constexpr double hedge_share = 0.05;
constexpr double max_hedge_credit = 5.0;

/// One of so many successes is logged.
constexpr std::uint64_t success_sampling = 64;

} // namespace

void proxy::on_statement_answer(link& of, statement::answer content, time_point now)
{
    const task_ptr work = of.work;
    if (content.state == transaction_state::idle) {
        of.in_transaction = false;
    }
    if (!work) {
        // Its client left, or another server answered first.
        if (content.state == transaction_state::idle) {
            release(of, now);
        }
        else {
            of.in_transaction = true;
            roll_back(of, now);
        }
        return;
    }
    server& at = *find_server(of.server);
    const duration took = now - work->sent_at;
    at.usual_time += (took - at.usual_time) / smoothing;
    group_of(at.service).estimate.on_completed(took);
    if (content.ok()) {
        on_success(of, work, std::move(content), now);
        return;
    }
    const session& owner = *find_session(work->session);
    if (owner.open) {
        if (!retry_in_transaction(of, work, content, now)) {
            fail_in_transaction(of, work, std::move(content), now);
        }
        return;
    }
    if (retry_unrun(of, work, content, now)) {
        return;
    }
    const bool clean = content.state == transaction_state::idle;
    const server_connection_id id = of.id;
    of.work.reset();
    finish(work, std::move(content), false, now);
    if (link* const still = find_link(id)) {
        if (clean) {
            release(*still, now);
        }
        else {
            drop_link(id, "the server left a transaction open", now);
        }
    }
}

void proxy::on_success(link& of, const task_ptr& work, statement::answer content, time_point now)
{
    session& owner = *find_session(work->session);
    server& at = *find_server(of.server);
    group& in = group_of(at.service);
    const bool on_replica = in.leader != of.server;
    const bool in_transaction = owner.open.has_value();
    const bool committed_write =
        in_transaction ? work->is_commit && owner.open->wrote : !work->is_read;
    if (committed_write) {
        add_watermark(in, of, content, work->sent_at, now);
        owner.last_commit = content.position;
        owner.last_commit_at = now;
        owner.last_commit_service = in.service;
    }
    if (work->is_read && !in_transaction) {
        m_hedge_credit = std::min(m_hedge_credit + hedge_share, max_hedge_credit);
        if (work->at_least) {
            at.lag.on_served(work->sent_at - work->at_least->as_of);
        }
    }
    const server_connection_id id = of.id;
    of.work.reset();
    if (in_transaction && !work->is_commit) {
        of.phase = link_phase::held;
        of.in_transaction = true;
        if (of.counted) {
            of.counted = false;
            --at.running;
        }
        finish(work, std::move(content), on_replica, now);
        dispatch(in, now);
        return;
    }
    if (work->is_commit) {
        owner.open.reset();
    }
    const bool clean = content.state == transaction_state::idle;
    finish(work, std::move(content), on_replica, now);
    if (link* const still = find_link(id)) {
        if (clean) {
            release(*still, now);
        }
        else {
            drop_link(id, "the server left a transaction open", now);
        }
    }
}

bool proxy::retry_unrun(link& of, const task_ptr& work, const statement::answer& content,
                        time_point now)
{
    if (content.state != transaction_state::idle || now >= work->start_deadline ||
        work->attempts >= max_attempts) {
        return false;
    }
    server& at = *find_server(of.server);
    group& in = group_of(at.service);
    duration pause{0};
    switch (content.error) {
    case error_class::busy:
        pause = busy_pause;
        at.avoid_until = now + busy_pause;
        break;
    case error_class::lagging:
        if (!work->at_least) {
            return false;
        }
        refused_position(in, at, work, now);
        break;
    case error_class::read_only:
        refused_lead(in, at, now);
        break;
    case error_class::unknown_name:
        if (!work->shape) {
            return false;
        }
        ++work->attempts;
        of.replayed.forget(*work->shape);
        work->sent = false;
        advance(of, now);
        return true;
    case error_class::failed:
        if (!work->is_read || work->attempts >= max_failed_reads) {
            return false;
        }
        work->avoid.insert(at.id);
        break;
    default:
        return false;
    }
    of.work.reset();
    requeue(work, pause, now);
    release(of, now);
    return true;
}

bool proxy::retry_in_transaction(link& of, const task_ptr& work, const statement::answer& content,
                                 time_point now)
{
    if (content.state != transaction_state::open || now >= work->start_deadline ||
        work->attempts >= max_attempts) {
        return false;
    }
    if (content.error == error_class::busy) {
        ++work->attempts;
        work->sent = false;
        work->not_before = now + busy_pause;
        of.phase = link_phase::pausing;
        return true;
    }
    if (content.error == error_class::unknown_name && work->shape) {
        ++work->attempts;
        work->sent = false;
        of.replayed.forget(*work->shape);
        advance(of, now);
        return true;
    }
    return false;
}

void proxy::fail_in_transaction(link& of, const task_ptr& work, statement::answer content,
                                time_point now)
{
    session& owner = *find_session(work->session);
    group& in = group_of(work->route.service);
    if (content.error == error_class::read_only) {
        refused_lead(in, *find_server(of.server), now);
    }
    const server_connection_id id = of.id;
    of.work.reset();
    of.pinned.reset();
    const bool outcome_open =
        work->is_commit && owner.open->wrote && !statement::guarantees_no_effect(content.error);
    const bool client_fault =
        content.error == error_class::malformed || content.error == error_class::other;
    if (!outcome_open && !client_fault && !statement::guarantees_no_effect(content.error)) {
        // Nothing was committed and the transaction is rolled back here.
        content.error = error_class::aborted;
        content.error_code.clear();
    }
    if (work->is_commit) {
        owner.open.reset();
        // A refused commit may have left the transaction open.
        drop_link(id, "the server refused a commit", now);
    }
    else {
        owner.open->failed = true;
        owner.open->link.reset();
        of.in_transaction = true;
        roll_back(of, now);
    }
    finish(work, std::move(content), false, now);
}

void proxy::finish(const task_ptr& work, statement::answer content, bool on_replica, time_point now)
{
    session* const owner = find_session(work->session);
    if (owner == nullptr) {
        return;
    }
    owner->running.reset();
    owner->idle_since = now;
    if (owner->open) {
        owner->open->last_used = now;
    }
    const bool ok = content.ok();
    if (!ok || ++m_finished % success_sampling == 0) {
        note(ok ? importance::sampled : importance::failure,
             ok ? "answered a statement" : "answered a statement with an error", work->request.id,
             {{"service", work->route.service},
              {"database", work->route.database},
              {"statement", statement::to_string(work->request.kind)},
              {"class", statement::to_string(content.error)},
              {"attempts", std::to_string(work->attempts + 1)},
              {"took_us", std::to_string((now - work->arrived).count())},
              {"sent", work->sent ? "true" : "false"},
              {"server", work->server == server_id{} ? "" : name_of(work->server)},
              {"read_age_us",
               work->at_least ? std::to_string((now - work->at_least->as_of).count()) : ""},
              {"configuration", std::to_string(m_routes.version().value())}});
    }
    emit(statement_finished{work->route.read_consistency, content.error, now - work->arrived,
                            on_replica});
    answer(*owner, std::move(content));
    run_next_pipelined(*owner, now);
}

void proxy::refuse(const task_ptr& work, error_class kind, const std::string& text, time_point now)
{
    if (session* const owner = find_session(work->session); owner != nullptr && owner->open) {
        if (work->is_commit) {
            owner->open.reset();
        }
        else {
            owner->open->failed = true;
        }
    }
    statement::answer content;
    content.error = kind;
    content.error_text = text;
    finish(work, std::move(content), false, now);
}

void proxy::finish_proof(group& of)
{
    of.proofs_running -= of.proofs_running > 0 ? 1 : 0;
}

} // namespace gypsumstep::proxy
