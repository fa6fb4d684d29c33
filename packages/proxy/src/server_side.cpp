// Links to backend servers: one command at a time, and what follows from its answer.
#include "gypsumstep/proxy/proxy.h"

#include <algorithm>

namespace gypsumstep::proxy {
namespace {

using detail::link_phase;
using detail::task_kind;
using statement::command_kind;
using statement::transaction_state;

/// First and longest pause before a server that did not accept a connection is tried again.
constexpr duration first_connect_pause = 100ms;
constexpr duration longest_connect_pause = 800ms;

/// Pause after a server had no connection left; other daemons need time to give theirs back.
constexpr duration too_many_pause = 150ms;

/// Time that a server which denied being primary is not taken for it, unless its
/// registration changes.
constexpr duration refused_lead_pause = 500ms;

} // namespace

void proxy::assign(link& to, const task_ptr& work, time_point now)
{
    to.work = work;
    work->link = to.id;
    work->server = to.server;
    if (work->kind == task_kind::statement) {
        to.counted = true;
        ++find_server(to.server)->running;
        if (work->opens_transaction) {
            to.pinned = work->session;
            find_session(work->session)->open->link = to.id;
        }
    }
    advance(to, now);
}

void proxy::advance(link& of, time_point now)
{
    const task_ptr work = of.work;
    statement::server_command command;
    if (work->kind == task_kind::proof) {
        command.kind = command_kind::begin;
        of.phase = link_phase::running;
        send(of, std::move(command), m_options.own_command_limit, now);
        return;
    }
    session* const owner = find_session(work->session);
    const statement::prepared_statement* const shape = work->shape ? &*work->shape : nullptr;
    if (auto replay = of.replayed.next_replay(owner->state, shape)) {
        of.phase = link_phase::replaying;
        send(of, std::move(*replay), m_options.own_command_limit, now);
        return;
    }
    of.phase = link_phase::running;
    if (work->opens_transaction && !of.in_transaction) {
        command.kind =
            work->read_only_transaction ? command_kind::begin_read_only : command_kind::begin;
        if (work->read_only_transaction) {
            command.min_position = work->at_least->position;
        }
        send(of, std::move(command), m_options.own_command_limit, now);
        return;
    }
    command.id = work->request.id;
    command.text = work->request.text;
    if (shape != nullptr) {
        command.name = statement::connection_state::name_of(*shape);
        command.value = work->request.value;
    }
    if (!owner->open && work->is_read) {
        command.min_position = work->at_least->position;
    }
    if (owner->open && !work->is_read && !work->is_commit) {
        owner->open->wrote = true;
    }
    work->sent = true;
    work->sent_at = now;
    send(of, std::move(command), work->route.statement_timeout, now);
}

void proxy::send(link& to, statement::server_command command, duration limit, time_point now)
{
    to.command = command;
    to.command_sent = now;
    to.limit = now + limit;
    emit(send_command{to.id, std::move(command)});
}

void proxy::on_server_answer(server_connection_id id, statement::answer content, time_point now)
{
    link* const of = find_link(id);
    if (of == nullptr) {
        return;
    }
    server& from = *find_server(of->server);
    from.health.answered(now);
    if (content.position) {
        from.applied = std::max(from.applied, *content.position);
    }
    switch (of->phase) {
    case link_phase::opening:
        on_started(*of, content, now);
        return;
    case link_phase::replaying:
        on_replayed(*of, content, now);
        return;
    case link_phase::running:
        if (of->command.kind == command_kind::forward) {
            on_statement_answer(*of, std::move(content), now);
        }
        else {
            on_begun(*of, content, now);
        }
        return;
    case link_phase::cleaning:
        on_cleaned(*of, content, now);
        return;
    case link_phase::surveying:
        release(*of, now);
        return;
    case link_phase::idle:
    case link_phase::held:
    case link_phase::pausing:
        drop_link(id, "the server sent an answer to nothing", now);
        return;
    }
}

void proxy::on_started(link& opened, const statement::answer& content, time_point now)
{
    server& at = *find_server(opened.server);
    --at.opening;
    if (content.ok()) {
        at.connect_pause = duration{0};
        opened.phase = link_phase::idle;
        release(opened, now);
        return;
    }
    opened.phase = link_phase::cleaning;
    if (content.error == error_class::too_many) {
        at.max_links = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(at.links.size()) - 1);
        at.max_links_raised = now;
        // Without any connection the server is useless to this daemon's clients.
        const duration pause = at.links.size() > 1 ? too_many_pause : too_many_pause / 3;
        at.connect_after = now + m_random.between(pause, pause * 2);
    }
    else {
        at.health.failed(now);
        at.connect_after = now + longest_connect_pause;
    }
    note(importance::failure, "a backend server refused a connection", "",
         {{"server", name_of(opened.server)},
          {"class", statement::to_string(content.error)},
          {"text", content.error_text},
          {"open_links", std::to_string(at.links.size() - 1)}});
    drop_link(opened.id, "the server refused the connection", now);
}

void proxy::on_replayed(link& of, const statement::answer& content, time_point now)
{
    if (!content.ok()) {
        drop_link(of.id, "the server refused a session value or prepared statement", now);
        return;
    }
    of.replayed.on_acknowledged(of.command);
    if (of.work) {
        advance(of, now);
        return;
    }
    roll_back(of, now);
}

void proxy::on_begun(link& of, const statement::answer& content, time_point now)
{
    server& at = *find_server(of.server);
    group& in = group_of(at.service);
    const bool plain = of.command.kind == command_kind::begin;
    if (content.ok()) {
        of.in_transaction = true;
        if (plain) {
            add_watermark(in, of, content, of.command_sent, now);
        }
        if (of.work && of.work->kind == task_kind::statement) {
            advance(of, now);
            return;
        }
        if (of.work) {
            finish_proof(in);
        }
        roll_back(of, now);
        dispatch(in, now);
        return;
    }
    duration pause{0};
    switch (content.error) {
    case error_class::read_only:
        refused_lead(in, at, now);
        break;
    case error_class::lagging:
        refused_position(in, at, of.work, now);
        break;
    default:
        pause = busy_pause;
        at.avoid_until = now + busy_pause;
        break;
    }
    if (const task_ptr work = std::exchange(of.work, nullptr)) {
        if (session* const owner = find_session(work->session); owner != nullptr && owner->open) {
            owner->open->link.reset();
        }
        requeue(work, pause, now);
    }
    if (content.state == transaction_state::idle) {
        release(of, now);
    }
    else {
        drop_link(of.id, "the server refused to begin a transaction", now);
    }
}

void proxy::refused_lead(group& of, server& by, time_point now)
{
    note(importance::notice, "a server denied being the primary", "",
         {{"service", of.service},
          {"server", name_of(by.id)},
          {"term", std::to_string(of.leader_term.value())}});
    by.refused_lead_until = now + refused_lead_pause;
    choose_leader(of, now);
    emit(refresh_servers{});
}

void proxy::refused_position(group& of, server& by, const task_ptr& work, time_point now)
{
    if (of.leader == by.id) {
        // The primary's log lacks it: a promotion rolled it back.
        of.watermarks.clear();
        return;
    }
    if (work && work->at_least) {
        by.lag.on_refused(now - work->at_least->as_of, now);
    }
}

void proxy::add_watermark(group& of, const link& from, const statement::answer& content,
                          time_point sent_at, time_point now)
{
    if (!content.position) {
        return;
    }
    of.watermarks.add({*content.position, sent_at}, now);
    if (content.position->entry_term >= of.leader_term && of.leader != from.server) {
        of.leader = from.server;
        of.leader_listing = m_directory.listing_number();
        note(importance::notice, "a server proved to be the primary", "",
             {{"service", of.service},
              {"server", name_of(from.server)},
              {"position", to_string(*content.position)}});
    }
    of.leader_term = std::max(of.leader_term, content.position->entry_term);
}

void proxy::on_cleaned(link& of, const statement::answer& content, time_point now)
{
    if (!content.ok() || content.state != transaction_state::idle) {
        drop_link(of.id, "the server did not roll back", now);
        return;
    }
    of.in_transaction = false;
    release(of, now);
}

void proxy::roll_back(link& of, time_point now)
{
    of.work.reset();
    of.pinned.reset();
    if (!of.in_transaction) {
        release(of, now);
        return;
    }
    if (of.counted) {
        of.counted = false;
        --find_server(of.server)->running;
    }
    of.phase = link_phase::cleaning;
    statement::server_command command;
    command.kind = command_kind::rollback;
    send(of, std::move(command), m_options.own_command_limit, now);
}

void proxy::release(link& of, time_point now)
{
    server& at = *find_server(of.server);
    if (of.counted) {
        of.counted = false;
        --at.running;
    }
    of.phase = link_phase::idle;
    of.idle_since = now;
    of.work.reset();
    of.pinned.reset();
    const directory::server_record* const record = m_directory.find(at.id);
    if (record == nullptr) {
        drop_link(of.id, "the server is gone", now);
        return;
    }
    dispatch(group_of(at.service), now);
}

void proxy::drop_link(server_connection_id id, const std::string& cause, time_point now)
{
    link* const of = find_link(id);
    if (of == nullptr) {
        return;
    }
    emit(close_server_connection{id});
    lose_work(*of, cause, now);
}

void proxy::on_server_connection_closed(server_connection_id id, const std::string& cause,
                                        time_point now)
{
    link* const of = find_link(id);
    if (of == nullptr) {
        return;
    }
    server& at = *find_server(of->server);
    at.health.failed(now);
    if (of->phase == link_phase::opening) {
        --at.opening;
        at.connect_pause = at.connect_pause == duration{0}
                               ? first_connect_pause
                               : std::min(at.connect_pause * 2, longest_connect_pause);
        at.connect_after = now + m_random.between(at.connect_pause / 2, at.connect_pause);
    }
    note(importance::failure, "lost a connection to a backend server", "",
         {{"server", name_of(of->server)},
          {"service", at.service},
          {"cause", cause},
          {"failing_us", std::to_string(at.health.failing_for(now).count())}});
    lose_work(*of, cause, now);
}

void proxy::lose_work(link& of, const std::string& cause, time_point now)
{
    const task_ptr work = std::exchange(of.work, nullptr);
    server& at = *find_server(of.server);
    const std::string service = at.service;
    if (of.counted) {
        --at.running;
    }
    const bool timed_out = now >= of.limit;
    at.links.erase(of.id);
    const server_connection_id gone = of.id;
    const server_id server_gone = of.server;
    m_links.erase(gone);
    if (!work) {
        return;
    }
    session* const owner = find_session(work->session);
    // Only a statement that no earlier one of its transaction precedes may move.
    const bool may_move = work->opens_transaction || owner == nullptr || !owner->open.has_value();
    if (work->kind == task_kind::proof || (!work->sent && may_move)) {
        if (owner != nullptr && owner->open) {
            owner->open->link.reset();
        }
        requeue(work, busy_pause, now);
        return;
    }
    if (owner == nullptr) {
        return;
    }
    note(importance::failure, "lost the server while a statement ran", work->request.id,
         {{"service", service},
          {"server", name_of(server_gone)},
          {"cause", cause},
          {"sent_us_ago", std::to_string((now - work->sent_at).count())}});
    const bool wrote = owner->open ? work->is_commit && owner->open->wrote : !work->is_read;
    if (!owner->open && work->is_read && !timed_out) {
        work->avoid.insert(server_gone);
        requeue(work, duration{0}, now);
        dispatch(group_of(service), now);
        return;
    }
    if (owner->open) {
        owner->open->link.reset();
    }
    if (wrote) {
        refuse(work, timed_out ? error_class::timeout : error_class::outcome_unknown,
               "no answer; the write may have run", now);
        return;
    }
    refuse(work, error_class::aborted, "the server did not answer; nothing is kept", now);
}

} // namespace gypsumstep::proxy
