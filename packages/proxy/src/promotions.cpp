// Promotions: failure evidence about the primary, surveys of replicas, and the coordinator's
// actions.
#include "gypsumstep/proxy/proxy.h"

#include <algorithm>
#include <utility>

namespace gypsumstep::proxy {
namespace {

using detail::connection_phase;
using statement::command_kind;

/// Timeout of a survey. Covers a round trip between regions and the wait in a full queue.
constexpr duration survey_timeout = 600ms;

/// Time before a replica is asked again whether it has received all that the old primary had.
constexpr duration survey_retry_interval = 20ms;

/// Replicas that were paused for a survey receive the log again this long before another daemon may
/// pause them, whether or not one of them was promoted: time to open a connection and to send the
/// command.
constexpr duration resume_margin = 400ms;

/// See promotion::coordinator; a command to receive the log again is not sent later than its
/// transit time before another daemon may pause the replica.
constexpr duration resume_transit = promotion::coordinator::resume_transit;
constexpr duration resume_permit = promotion::coordinator::resume_permit;

/// Interval between these questions.
constexpr duration resume_check_interval = 1s;

/// A group counts as without a leader for the logs after this time, longer than most promotions;
/// the log then tells at this interval why nobody was promoted.
constexpr duration leaderless_report_delay = 2s;
constexpr duration leaderless_report_interval = 5s;

/// The command that asks a server for its position in \p survey.
command_kind survey_command(const detail::replica_survey& survey, server_id server)
{
    if (survey.reference == server) {
        return survey.demotes_reference ? command_kind::demote : command_kind::status;
    }
    return survey.pause_replicas ? command_kind::pause : command_kind::status;
}

/// Whether a server that answered with \p status may have ignored a command whose term was not
/// above the newest one that it knew.
bool had_no_effect(const statement::server_command& command, const statement::server_status& status)
{
    return command.kind != command_kind::status && command.at_term <= status.known_term;
}

} // namespace

void proxy::update_promotion(database_group& group, time_point now)
{
    promotion::group_state state;
    const directory::server_record* const primary =
        group.primary ? m_directory.find(*group.primary) : nullptr;
    if (primary != nullptr) {
        const duration failing = find_server(primary->id)->health.failing_for(now);
        state.primary = primary->entry.name;
        state.primary_draining = primary->entry.draining;
        state.primary_failing_for = failing;
    }
    for (const directory::server_record* record : m_directory.servers_of(group.service)) {
        if (record == primary) {
            continue;
        }
        const bool ready = !record->entry.draining && !record->missing_since;
        (ready ? state.replicas : state.other_members).push_back(record->entry.name);
    }
    state.saw_primary = group.saw_primary;
    state.leaderless_for = group.leaderless_since ? now - *group.leaderless_since : duration{0};
    state.leaderless_confirmed = m_directory.listing_number() > group.leaderless_listing;
    state.old_primary_stops = m_options.old_primary_stops;
    state.sync_replicas = m_routes.settings_of(group.service).sync_replicas;
    state.awaits_resume = !group.paused_replicas.empty();
    const bool was_in_progress = group.promotion.in_progress();
    const bool was_settling = group.promotion.is_settling();
    group.promotion.update(state, now);
    if (!was_settling && group.promotion.is_settling()) {
        log_decision(importance::notice, "looks for what earlier promotions left", "",
                     {{"service", group.service}, {"primary", state.primary.value_or("")}});
    }
    if (!was_in_progress && group.promotion.in_progress()) {
        log_decision(importance::notice, "a promotion is wanted", "",
                     {{"service", group.service},
                      {"reason", group.promotion.reason()},
                      {"primary", state.primary.value_or("")},
                      {"failing_us", std::to_string(state.primary_failing_for.count())}});
    }
    report_leaderless(group, state, now);
    run_promotion_actions(group, now);
    if (group.survey) {
        continue_survey(group, now);
    }
    resume_replicas(group, now);
}

void proxy::report_leaderless(database_group& group, const promotion::group_state& state,
                              time_point now)
{
    const duration lasting = state.primary ? state.primary_failing_for : state.leaderless_for;
    if (lasting < leaderless_report_delay || now < group.next_leaderless_report) {
        return;
    }
    group.next_leaderless_report = now + leaderless_report_interval;
    log_decision(importance::failure, "a group has no leader", "",
                 {{"service", group.service},
                  {"obstacle", std::string{group.promotion.obstacle()}},
                  {"leaderless_us", std::to_string(lasting.count())},
                  {"primary", state.primary.value_or("")},
                  {"ready_replicas", std::to_string(state.replicas.size())},
                  {"other_servers", std::to_string(state.other_members.size())}});
}

void proxy::run_promotion_actions(database_group& group, time_point now)
{
    if (group.promotion.in_progress() || group.promotion.is_settling()) {
        request_tick(tick_need::soon);
    }
    for (promotion::action& next : group.promotion.take_actions()) {
        if (const auto* survey = std::get_if<promotion::survey_replicas>(&next)) {
            start_survey(group, *survey, now);
            continue;
        }
        if (const auto* resume = std::get_if<promotion::resume_replicas>(&next)) {
            start_resuming(group, *resume, now);
            continue;
        }
        if (const auto* written = std::get_if<promotion::write_claim>(&next)) {
            log_claim(group, written->next);
        }
        if (const auto* hand_over = std::get_if<promotion::hand_over_lead>(&next)) {
            m_exchange->learn(hand_over->claim);
            m_exchange->begin_hand_over(group.service, hand_over->former, now);
            run_exchange(now);
            continue;
        }
        if (const auto* order = std::get_if<promotion::order_promotion>(&next)) {
            if (m_exchange) {
                m_exchange->learn({group.service, order->token, order->target});
                apply_claims(now);
            }
            log_decision(importance::notice, "ordering a promotion", "",
                         {{"service", group.service},
                          {"server", order->target},
                          {"token", std::to_string(order->token)},
                          {"reason", group.promotion.reason()}});
        }
        emit(promotion_step{group.service, std::move(next)});
    }
}

void proxy::log_claim(const database_group& group, const promotion::claim& claim)
{
    log_decision(importance::notice,
                 claim.is_settled() ? "records that a promotion is settled"
                                    : "writes a claim on a group",
                 "",
                 {{"service", group.service},
                  {"token", std::to_string(claim.token)},
                  {"target", claim.target},
                  {"orders_open", std::to_string(claim.ordered.size())},
                  {"paused", claim.paused ? "true" : "false"}});
}

void proxy::start_survey(database_group& group, const promotion::survey_replicas& request,
                         time_point now)
{
    detail::replica_survey survey;
    survey.pause_replicas = request.pause;
    survey.exclusive_until = request.exclusive_until;
    survey.required_position = request.required;
    survey.deadline = now + survey_timeout;
    survey.next_request_at = now;
    for (const directory::server_record* record : m_directory.servers_of(group.service)) {
        const std::string& name = record->entry.name;
        if (request.reference == name) {
            survey.reference = record->id;
            survey.demotes_reference = request.demote;
            survey.pending.insert(record->id);
        }
        if (std::find(request.servers.begin(), request.servers.end(), name) !=
            request.servers.end()) {
            survey.answers.push_back({name, {}});
            survey.pending.insert(record->id);
        }
    }
    group.survey = std::move(survey);
    continue_survey(group, now);
}

bool proxy::request_status(database_group& group, backend_server& server, time_point now)
{
    server_connection* const connection = find_idle_connection(server, nullptr);
    if (connection == nullptr) {
        open_connection_if_allowed(server, {}, now);
        return false;
    }
    const detail::replica_survey& survey = *group.survey;
    statement::server_command command;
    command.kind = survey_command(survey, server.id);
    if (command.kind == command_kind::pause) {
        group.paused_replicas.insert_or_assign(server.id, now);
        group.resume_at = survey.exclusive_until - resume_margin;
        group.resume_until = survey.exclusive_until - resume_transit;
        group.resume_check_at.reset();
    }
    if (command.kind != command_kind::status) {
        command.at_term = group.primary_term.next();
    }
    connection->phase = connection_phase::surveying;
    send(*connection, std::move(command), survey_timeout, now);
    return true;
}

void proxy::continue_survey(database_group& group, time_point now)
{
    if (now >= group.survey->deadline) {
        finish_survey(group, now);
        return;
    }
    if (now < group.survey->next_request_at) {
        return;
    }
    // The reference comes first: the position that it reports is what a replica must have.
    if (const auto reference = group.survey->reference;
        reference && group.survey->pending.contains(*reference)) {
        backend_server* const server = find_server(*reference);
        if (server == nullptr || request_status(group, *server, now)) {
            group.survey->pending.erase(*reference);
        }
        if (server != nullptr) {
            return;
        }
    }
    const std::set<server_id> pending = group.survey->pending;
    for (const server_id id : pending) {
        backend_server* const server = find_server(id);
        if (server == nullptr || request_status(group, *server, now)) {
            group.survey->pending.erase(id);
        }
    }
}

bool proxy::awaits_reference(const database_group& group, time_point now) const
{
    const detail::replica_survey& survey = *group.survey;
    if (!survey.reference || survey.required_position) {
        return false;
    }
    const auto found = m_servers.find(*survey.reference);
    return found != m_servers.end() &&
           found->second->health.failing_for(now) < promotion::coordinator::suspicion_delay;
}

void proxy::on_server_status(server_connection_id id, const statement::server_status& status,
                             time_point now)
{
    server_connection* const connection = find_connection(id);
    if (connection == nullptr || connection->phase != connection_phase::surveying) {
        return;
    }
    backend_server& server = *find_server(connection->server);
    server.health.answered(now);
    record_sign_of_life(server);
    database_group& group = group_of(server.service);
    group.primary_term = std::max(group.primary_term, status.known_term);
    const std::string name = name_of(server.id);
    const bool answers_release = m_exchange && connection->command.kind == command_kind::demote;
    const bool answers_resume = connection->command.kind == command_kind::resume;
    release(*connection, now);
    if (answers_resume) {
        on_resumed(group, server);
        return;
    }
    if (answers_release) {
        on_demotion_answered(group, server, status, now);
        return;
    }
    if (!group.survey) {
        return;
    }
    detail::replica_survey& survey = *group.survey;
    const command_kind wanted = survey_command(survey, server.id);
    if (connection->command.kind != wanted) {
        return; // The answer to an earlier survey.
    }
    if (had_no_effect(connection->command, status) && survey.repeated.insert(server.id).second) {
        survey.pending.insert(server.id);
        survey.next_request_at = now;
        return;
    }
    if (survey.reference == server.id) {
        survey.required_position = status.received;
        return;
    }
    // A paused replica receives nothing that is worth waiting for.
    const bool awaits_position =
        !survey.pause_replicas && (survey.required_position || awaits_reference(group, now));
    const bool behind = awaits_position &&
                        (!survey.required_position || status.received < *survey.required_position);
    for (promotion::survey_answer& replica_answer : survey.answers) {
        if (replica_answer.server == name) {
            replica_answer.status = status;
        }
    }
    if (behind) {
        survey.pending.insert(server.id);
        survey.next_request_at = now + survey_retry_interval;
        return;
    }
    const bool complete = std::all_of(survey.answers.begin(), survey.answers.end(),
                                      [](const promotion::survey_answer& replica_answer) {
                                          return replica_answer.status.has_value();
                                      });
    if (complete || awaits_position) {
        finish_survey(group, now);
    }
}

void proxy::finish_survey(database_group& group, time_point now)
{
    const promotion::survey_result survey{std::move(group.survey->answers),
                                          group.survey->required_position};
    const bool paused = group.survey->pause_replicas;
    group.survey.reset();
    for (const promotion::survey_answer& replica_answer : survey.answers) {
        log_decision(
            importance::notice, "surveyed a replica", "",
            {{"service", group.service},
             {"server", replica_answer.server},
             {"received",
              replica_answer.status ? to_string(replica_answer.status->received) : "no answer"},
             {"required", survey.required ? to_string(*survey.required) : ""},
             {"paused", paused ? "true" : "false"}});
    }
    group.promotion.on_survey(survey, now);
    run_promotion_actions(group, now);
}

void proxy::resume_replicas(database_group& group, time_point now)
{
    if (group.paused_replicas.empty() || now < group.resume_at || group.promotion.keeps_pause()) {
        return;
    }
    if (now >= group.resume_until) {
        // Another daemon may hold the claim and rely on the pause.
        if (!group.resume_check_at || now - *group.resume_check_at >= resume_check_interval) {
            group.resume_check_at = now;
            emit(promotion_step{group.service, promotion::read_shared_state{}});
        }
        return;
    }
    const std::map<server_id, time_point> paused = group.paused_replicas;
    for (const auto& [id, next_command_at] : paused) {
        backend_server* const server = find_server(id);
        if (server == nullptr) {
            group.paused_replicas.erase(id);
            continue;
        }
        if (now < next_command_at || has_unanswered_pause(*server)) {
            continue;
        }
        server_connection* const connection = find_idle_connection(*server, nullptr);
        if (connection == nullptr) {
            open_connection_if_allowed(*server, {}, now);
            continue;
        }
        group.paused_replicas[id] = now + survey_timeout;
        statement::server_command command;
        command.kind = command_kind::resume;
        connection->phase = connection_phase::surveying;
        send(*connection, std::move(command), survey_timeout, now);
    }
}

bool proxy::has_unanswered_pause(const backend_server& server) const
{
    return std::any_of(server.connections.begin(), server.connections.end(),
                       [this](const server_connection_id id) {
                           const auto found = m_connections.find(id);
                           return found != m_connections.end() &&
                                  found->second->phase == connection_phase::surveying &&
                                  found->second->command.kind == command_kind::pause;
                       });
}

void proxy::start_resuming(database_group& group, const promotion::resume_replicas& request,
                           time_point now)
{
    group.survey.reset();
    for (const backend_server* const server : group.servers) {
        if (server->id != group.primary) {
            group.paused_replicas.emplace(server->id, now);
        }
    }
    group.resume_at = now;
    group.resume_until = request.exclusive_until - resume_transit;
    group.resume_check_at.reset();
    resume_replicas(group, now);
}

void proxy::on_resumed(database_group& group, const backend_server& server)
{
    if (group.paused_replicas.erase(server.id) > 0) {
        log_decision(importance::notice, "a replica receives the log again", "",
                     {{"service", group.service}, {"server", name_of(server.id)}});
    }
}

void proxy::allow_resuming(database_group& group, const promotion::shared_state& state,
                           time_point now)
{
    const time_point asked_at = *std::exchange(group.resume_check_at, std::nullopt);
    const auto& claim = state.current_claim;
    const bool is_free =
        !claim || claim->holder == m_options.daemon ||
        (!promotion::coordinator::is_leased(*claim, state.now) && claim->ordered.empty());
    if (is_free && now - asked_at < resume_permit) {
        group.resume_until = asked_at + resume_permit;
        resume_replicas(group, now);
    }
    else {
        group.resume_check_at = asked_at;
    }
}

void proxy::on_shared_state(const std::string& service,
                            const std::optional<promotion::shared_state>& state, time_point now)
{
    if (database_group* const group = find_group(service)) {
        group->promotion.on_shared_state(state, now);
        run_promotion_actions(*group, now);
        if (state && group->resume_check_at) {
            allow_resuming(*group, *state, now);
        }
    }
}

std::size_t proxy::on_store_rolled_back(time_point now)
{
    m_claims_requested_at.reset();
    std::size_t dropped = 0;
    for (auto& [service, group] : m_groups) {
        if (group->promotion.on_store_rolled_back(now)) {
            ++dropped;
            group->survey.reset();
        }
    }
    request_tick(tick_need::soon);
    return dropped;
}

void proxy::on_suspicion_written(const std::string& service, promotion::call_outcome outcome,
                                 time_point now)
{
    if (database_group* const group = find_group(service)) {
        group->promotion.on_suspicion_written(outcome, now);
        run_promotion_actions(*group, now);
    }
}

void proxy::on_claim_written(const std::string& service, promotion::call_outcome outcome,
                             time_point now)
{
    if (database_group* const group = find_group(service)) {
        group->promotion.on_claim_written(outcome, now);
        run_promotion_actions(*group, now);
    }
}

void proxy::on_promotion_ordered(const std::string& service, promotion::call_outcome outcome,
                                 time_point now)
{
    if (database_group* const group = find_group(service)) {
        group->promotion.on_order(outcome, now);
        run_promotion_actions(*group, now);
        emit(refresh_servers{});
    }
}

} // namespace gypsumstep::proxy
