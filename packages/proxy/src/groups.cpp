// Database groups: servers, the primary, promotions.
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

/// Watermarks are kept this much longer than any route's staleness.
constexpr duration watermark_slack = 1s;

} // namespace

proxy::group& proxy::group_of(const std::string& service)
{
    auto& found = m_groups[service];
    if (!found) {
        found = std::make_unique<group>(service, m_options.daemon, m_random.below(UINT64_MAX));
        found->watermarks.set_keep(m_routes.max_staleness() + watermark_slack);
    }
    return *found;
}

proxy::group* proxy::find_group(const std::string& service)
{
    const auto found = m_groups.find(service);
    return found == m_groups.end() ? nullptr : found->second.get();
}

void proxy::on_configuration(directory::configuration next, time_point now)
{
    const auto version = next.version;
    const auto routes = next.routes.size();
    if (!m_routes.apply(std::move(next))) {
        return;
    }
    note(importance::notice, "put a configuration in force", "",
         {{"configuration", std::to_string(version.value())}, {"routes", std::to_string(routes)}});
    for (auto& [name, each] : m_groups) {
        each->watermarks.set_keep(m_routes.max_staleness() + watermark_slack);
        dispatch(*each, now);
    }
}

void proxy::on_servers(const std::vector<directory::server_entry>& listing, time_point now)
{
    const directory::directory_change change = m_directory.update(listing, now);
    for (const server_id id : change.added) {
        add_server(*m_directory.find(id));
    }
    const auto report = [this](const char* what, const std::vector<server_id>& ids) {
        for (const server_id id : ids) {
            const directory::server_entry& entry = m_directory.find(id)->entry;
            note(importance::notice, what, "",
                 {{"server", entry.name}, {"service", entry.service}, {"domain", entry.domain}});
        }
    };
    report("a backend server registered", change.added);
    report("a backend server is draining", change.started_draining);
    report("a backend server's registration lapsed", change.missing);
    report("a backend server changed its role", change.role_changed);
    for (const server_id id : change.role_changed) {
        find_server(id)->refused_lead_until = {};
    }
    for (const server_id id : change.removed) {
        note(importance::notice, "a backend server is gone", "",
             {{"server", std::to_string(id.value())}, {"service", find_server(id)->service}});
        remove_server(id, now);
    }
    for (auto& [name, each] : m_groups) {
        choose_leader(*each, now);
        dispatch(*each, now);
    }
    for (const server_id id : change.added) {
        if (serves(find_server(id)->service)) {
            open_link_if_useful(*find_server(id), now);
        }
    }
}

void proxy::set_served(std::map<std::string, group_share, std::less<>> services, time_point now)
{
    m_served = std::move(services);
    for (auto& [id, each] : m_servers) {
        if (each->links.empty() && serves(each->service)) {
            open_link_if_useful(*each, now);
        }
    }
}

bool proxy::serves(const std::string& service) const
{
    return !m_served || m_served->contains(service);
}

group_share proxy::share_of(const std::string& service) const
{
    if (m_served) {
        if (const auto found = m_served->find(service); found != m_served->end()) {
            return found->second;
        }
    }
    return {m_options.connections_per_server, 0};
}

dispatch::proximity proxy::proximity_of(const std::string& domain) const
{
    if (domain == m_options.domain) {
        return dispatch::proximity::same_domain;
    }
    const auto there = m_options.regions.find(domain);
    const auto here = m_options.regions.find(m_options.domain);
    const bool same = there != m_options.regions.end() && here != m_options.regions.end() &&
                      there->second == here->second;
    return same ? dispatch::proximity::same_region : dispatch::proximity::remote;
}

void proxy::add_server(const directory::server_record& record)
{
    auto added = std::make_unique<server>();
    added->id = record.id;
    added->service = record.entry.service;
    added->distance = proximity_of(record.entry.domain);
    // Grows with time: after a restart of all daemons the servers still count old connections.
    added->max_links = m_options.resting_connections;
    m_servers.emplace(record.id, std::move(added));
    (void)group_of(record.entry.service);
}

void proxy::remove_server(server_id id, time_point now)
{
    server& removed = *find_server(id);
    if (group* const of = find_group(removed.service); of != nullptr && of->leader == id) {
        of->leader.reset();
    }
    // Statements in flight there end with their connections.
    const std::set<link_id> links = removed.links;
    for (const link_id each : links) {
        const link* const held = find_link(each);
        if (held != nullptr && held->phase == link_phase::idle) {
            drop_link(each, "the server is gone", now);
        }
    }
    if (removed.links.empty()) {
        m_servers.erase(id);
    }
}

void proxy::choose_leader(group& of, time_point now)
{
    const directory::server_record* best = nullptr;
    for (const directory::server_record* each : m_directory.of_service(of.service)) {
        const server* const known = find_server(each->id);
        if (each->entry.role != directory::server_role::primary || known == nullptr ||
            now < known->refused_lead_until) {
            continue;
        }
        if (best == nullptr || each->role_since > best->role_since ||
            (each->role_since == best->role_since && each->id == of.leader)) {
            best = each;
        }
    }
    // A server that answered as the primary is believed before its registration says so.
    if (of.leader) {
        const server* const held = find_server(*of.leader);
        const directory::server_record* const record = m_directory.find(*of.leader);
        const bool still_fits = held != nullptr && record != nullptr &&
                                now >= held->refused_lead_until &&
                                (record->entry.role == directory::server_role::primary ||
                                 record->role_since <= of.leader_listing);
        if (still_fits && (best == nullptr || best->role_since <= of.leader_listing)) {
            return;
        }
    }
    const std::optional<server_id> chosen =
        best == nullptr ? std::nullopt : std::optional{best->id};
    if (chosen == of.leader) {
        return;
    }
    note(importance::notice, chosen ? "took a server for the primary" : "no primary is known", "",
         {{"service", of.service},
          {"server", chosen ? name_of(*chosen) : ""},
          {"before", of.leader ? name_of(*of.leader) : ""}});
    of.leader = chosen;
    of.leader_listing = m_directory.listing_number();
}

void proxy::update_promotion(group& of, time_point now)
{
    promotion::group_state state;
    const directory::server_record* const leader =
        of.leader ? m_directory.find(*of.leader) : nullptr;
    if (leader != nullptr) {
        const duration failing = find_server(leader->id)->health.failing_for(now);
        state.primary = leader->entry.name;
        state.primary_draining = leader->entry.draining;
        state.primary_failing = failing;
    }
    for (const directory::server_record* each : m_directory.of_service(of.service)) {
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
              {"failing_us", std::to_string(state.primary_failing.count())}});
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
    for (const directory::server_record* each : m_directory.of_service(of.service)) {
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

void proxy::on_link_status(link_id id, const statement::server_status& status, time_point now)
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

void proxy::on_order(const std::string& service, promotion::call_outcome outcome, time_point now)
{
    if (group* const of = find_group(service)) {
        of->promotion.on_order(outcome, now);
        run_promotion_actions(*of, now);
        emit(refresh_servers{});
    }
}

} // namespace gypsumstep::proxy
