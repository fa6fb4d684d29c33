// Promotions: evidence against a primary, surveys of replicas, the steps that follow.
#include "gypsumstep/proxy/proxy.h"

#include <algorithm>

namespace gypsumstep::proxy {
namespace {

using detail::link_phase;
using statement::command_kind;

/// Time for all replicas to answer a survey; a round trip between regions and a full queue.
constexpr duration survey_limit = 600ms;

/// Pause before a replica is asked again whether it holds what the old primary had.
constexpr duration survey_pause = 20ms;

/// Replicas that were stopped for a survey receive again after this time, whether or not
/// one of them was promoted. Covers claim, order and promotion.
constexpr duration pause_limit = 4s;

} // namespace

void proxy::update_promotion(group& of, time_point now)
{
    promotion::group_state state;
    const directory::server_record* const leader =
        of.leader ? m_directory.find(*of.leader) : nullptr;
    if (leader != nullptr) {
        const duration failing = find_server(leader->id)->health.failing_for(now);
        state.primary = leader->entry.name;
        state.primary_draining = leader->entry.draining;
        state.primary_failing_for = failing;
    }
    for (const directory::server_record* each : m_directory.servers_of(of.service)) {
        if (each != leader && !each->entry.draining && !each->missing_since) {
            state.replicas.push_back(each->entry.name);
        }
    }
    state.sync_replicas = m_routes.settings_of(of.service).sync_replicas;
    const bool before = of.promotion.in_progress();
    of.promotion.update(state, now);
    if (!before && of.promotion.in_progress()) {
        note(importance::notice, "a promotion is wanted", "",
             {{"service", of.service},
              {"reason", of.promotion.reason()},
              {"primary", state.primary.value_or("")},
              {"failing_us", std::to_string(state.primary_failing_for.count())}});
    }
    run_promotion_actions(of, now);
    if (of.open_survey) {
        continue_survey(of, now);
    }
    resume_replicas(of, now);
}

void proxy::run_promotion_actions(group& of, time_point now)
{
    for (promotion::action& next : of.promotion.take_actions()) {
        if (const auto* survey = std::get_if<promotion::survey_replicas>(&next)) {
            start_survey(of, *survey, now);
            continue;
        }
        if (const auto* order = std::get_if<promotion::order_promotion>(&next)) {
            note(importance::notice, "ordering a promotion", "",
                 {{"service", of.service},
                  {"server", order->target},
                  {"token", std::to_string(order->token)},
                  {"reason", of.promotion.reason()}});
        }
        emit(promotion_step{of.service, std::move(next)});
    }
}

void proxy::start_survey(group& of, const promotion::survey_replicas& wanted, time_point now)
{
    detail::survey started;
    started.pause = wanted.pause;
    started.limit = now + survey_limit;
    started.ask_again = now;
    for (const directory::server_record* each : m_directory.servers_of(of.service)) {
        const std::string& name = each->entry.name;
        if (wanted.demote == name) {
            started.demoted = each->id;
            started.pending.insert(each->id);
        }
        if (std::find(wanted.servers.begin(), wanted.servers.end(), name) != wanted.servers.end()) {
            started.answers.push_back({name, {}});
            started.pending.insert(each->id);
        }
    }
    of.open_survey = std::move(started);
    continue_survey(of, now);
}

bool proxy::ask_status(group& of, server& who, time_point now)
{
    link* const free = idle_link(who, nullptr);
    if (free == nullptr) {
        open_link_if_useful(who, now);
        return false;
    }
    const detail::survey& in = *of.open_survey;
    statement::server_command command;
    command.kind = command_kind::status;
    if (in.demoted == who.id) {
        command.kind = command_kind::demote;
        command.at_term = of.leader_term.next();
    }
    else if (in.pause) {
        of.paused.insert(who.id);
        of.resume_at = now + pause_limit;
        command.kind = command_kind::pause;
        command.at_term = of.leader_term.next();
    }
    free->phase = link_phase::surveying;
    send(*free, std::move(command), survey_limit, now);
    return true;
}

void proxy::continue_survey(group& of, time_point now)
{
    if (now >= of.open_survey->limit) {
        finish_survey(of, now);
        return;
    }
    if (now < of.open_survey->ask_again) {
        return;
    }
    // The old primary stops first: what it committed then is what a replica should hold.
    if (const auto demoted = of.open_survey->demoted;
        demoted && of.open_survey->pending.contains(*demoted)) {
        server* const who = find_server(*demoted);
        if (who == nullptr || ask_status(of, *who, now)) {
            of.open_survey->pending.erase(*demoted);
        }
        if (who != nullptr) {
            return;
        }
    }
    const std::set<server_id> pending = of.open_survey->pending;
    for (const server_id id : pending) {
        server* const who = find_server(id);
        if (who == nullptr || ask_status(of, *who, now)) {
            of.open_survey->pending.erase(id);
        }
    }
}

void proxy::on_server_status(server_connection_id id, const statement::server_status& status,
                             time_point now)
{
    link* const of = find_link(id);
    if (of == nullptr || of->phase != link_phase::surveying) {
        return;
    }
    server& from = *find_server(of->server);
    from.health.answered(now);
    group& in = group_of(from.service);
    in.leader_term = std::max(in.leader_term, status.known_term);
    const std::string name = name_of(from.id);
    release(*of, now);
    if (!in.open_survey) {
        return;
    }
    detail::survey& open = *in.open_survey;
    if (open.demoted == from.id) {
        open.wanted = status.received;
        return;
    }
    const bool behind = open.wanted && status.received < *open.wanted;
    for (promotion::survey_answer& each : open.answers) {
        if (each.server == name) {
            each.status = status;
        }
    }
    if (behind) {
        open.pending.insert(from.id);
        open.ask_again = now + survey_pause;
        return;
    }
    const bool complete =
        std::all_of(open.answers.begin(), open.answers.end(),
                    [](const promotion::survey_answer& each) { return each.status.has_value(); });
    if (complete || open.wanted) {
        finish_survey(in, now);
    }
}

void proxy::finish_survey(group& of, time_point now)
{
    const auto answers = std::move(of.open_survey->answers);
    of.open_survey.reset();
    for (const promotion::survey_answer& each : answers) {
        note(importance::notice, "surveyed a replica", "",
             {{"service", of.service},
              {"server", each.server},
              {"received", each.status ? to_string(each.status->received) : "no answer"}});
    }
    of.promotion.on_survey(answers, now);
    run_promotion_actions(of, now);
}

void proxy::resume_replicas(group& of, time_point now)
{
    if (of.paused.empty() || now < of.resume_at) {
        return;
    }
    const std::set<server_id> paused = of.paused;
    for (const server_id id : paused) {
        server* const who = find_server(id);
        link* const free = who == nullptr ? nullptr : idle_link(*who, nullptr);
        if (who != nullptr && free == nullptr) {
            open_link_if_useful(*who, now);
            continue;
        }
        of.paused.erase(id);
        if (free != nullptr) {
            statement::server_command command;
            command.kind = command_kind::resume;
            free->phase = link_phase::surveying;
            send(*free, std::move(command), survey_limit, now);
        }
    }
}

void proxy::on_shared_state(const std::string& service,
                            const std::optional<promotion::shared_state>& state, time_point now)
{
    if (group* const of = find_group(service)) {
        of->promotion.on_shared_state(state, now);
        run_promotion_actions(*of, now);
    }
}

void proxy::on_suspicion_written(const std::string& service, promotion::call_outcome outcome,
                                 time_point now)
{
    if (group* const of = find_group(service)) {
        of->promotion.on_suspicion_written(outcome, now);
        run_promotion_actions(*of, now);
    }
}

void proxy::on_claim_written(const std::string& service, promotion::call_outcome outcome,
                             time_point now)
{
    if (group* const of = find_group(service)) {
        of->promotion.on_claim_written(outcome, now);
        run_promotion_actions(*of, now);
    }
}

void proxy::on_promotion_ordered(const std::string& service, promotion::call_outcome outcome,
                                 time_point now)
{
    if (group* const of = find_group(service)) {
        of->promotion.on_order(outcome, now);
        run_promotion_actions(*of, now);
        emit(refresh_servers{});
    }
}

} // namespace gypsumstep::proxy
