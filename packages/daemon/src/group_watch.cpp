#include "group_watch.h"

#include "clock.h"

#include "gypsumstep/base/random.h"
#include "gypsumstep/logging/logging.h"

namespace gypsumstep::daemon {
namespace {

constexpr auto tick_interval = std::chrono::milliseconds{20};
constexpr std::uint64_t grant_seed = 1;

const logging::logger& log()
{
    static const logging::logger instance{"failover"};
    return instance;
}

std::string call_text(const std::string& name, const std::vector<std::string>& arguments)
{
    std::string text = "SELECT " + name + "(";
    for (std::size_t i = 0; i < arguments.size(); ++i) {
        text += (i == 0 ? "" : ", ") + arguments[i];
    }
    return text + ")";
}

std::vector<std::string> claim_arguments(term asked, const failover::claim_id& claim)
{
    return {std::to_string(asked.value()), std::to_string(claim.claimant.value()),
            std::to_string(claim.round)};
}

term read_term(const nlohmann::json& fields, const char* name)
{
    return term{fields.value(name, std::uint64_t{0})};
}

log_position read_position(const nlohmann::json& fields, const char* name)
{
    return parse_position(fields.value(name, std::string{})).value_or(log_position{});
}

} // namespace

group_watch::group_watch(const fleet::document& document, group_id group, daemon_id self,
                         platform::client& platform, view_handler on_view)
    : m_database{document.groups[group.value()].name}, m_group{group},
      m_on_view{std::move(on_view)}, m_claims{platform, m_database},
      m_watcher{self, document.groups[group.value()].servers, failover::settings{},
                random_source{hash_combine(self.value(), grant_seed + group.value())}}
{
    for (const server_id id : document.groups[group.value()].servers) {
        watched_server& target = m_servers[id];
        target.server = document.servers[id.value()];
        target.view.id = id;
        target.view.leaving = target.server.leaving;
        m_names[target.server.name] = id;
    }
    for (auto& [id, target] : m_servers) {
        target.monitor = std::make_unique<server_monitor>(
            target.server, m_database,
            [this, &target = target](const server_status& status) { apply_status(target, status); },
            [this, &target = target] { on_server_lost(target); });
    }
    step(failover::homed_servers{document.groups[group.value()].servers});
    step(failover::set_automation{document.groups[group.value()].automation});
    connect(&m_tick_timer, &QTimer::timeout, this, [this] { step(failover::tick{}); });
    m_tick_timer.start(tick_interval);
}

void group_watch::promote(const std::optional<server_id>& target, order_handler on_finished)
{
    const std::uint64_t order = m_next_order++;
    m_orders[order] = std::move(on_finished);
    step(failover::operator_order{order, target});
}

void group_watch::apply(const fleet::document& document)
{
    bool primary_leaves = false;
    for (auto& [id, target] : m_servers) {
        const bool leaving = document.servers[id.value()].leaving;
        primary_leaves = primary_leaves || (leaving && m_watcher.known_primary().is_primary(id));
        target.view.leaving = leaving;
    }
    step(failover::set_automation{document.groups[m_group.value()].automation});
    if (primary_leaves) {
        promote(std::nullopt, [](const failover::order_finished& order) {
            log().info("promotion to replace the leaving primary finished",
                       {{"result", order.reason}});
        });
    }
    publish();
}

void group_watch::step(const failover::event& event)
{
    for (const failover::action& action : m_watcher.step(event, steady_now())) {
        std::visit([this](const auto& concrete) { perform(concrete); }, action);
    }
}

void group_watch::perform(const failover::request_grant& action)
{
    m_servers.at(action.server)
        .monitor->call(
            call_text("group_grant", claim_arguments(action.requested_term, action.claim)),
            [this, action](const server_status& status) {
                const bool granted = status.fields.value("answer", std::string{}) == "granted";
                step(failover::grant_answer{action.claim, action.server, action.requested_term,
                                            granted, read_term(status.fields, "granted"),
                                            read_position(status.fields, "last")});
            });
}

void group_watch::perform(const failover::promote& action)
{
    auto arguments = claim_arguments(action.requested_term, action.claim);
    arguments.push_back("'" + to_string(action.min_position) + "'");
    m_servers.at(action.server)
        .monitor->call(
            call_text("group_promote", arguments), [this, action](const server_status& status) {
                const std::string text = status.fields.value("answer", std::string{});
                auto answer = failover::promotion_answer::refused;
                if (text == "promoted") {
                    answer = failover::promotion_answer::promoted;
                }
                else if (text == "behind") {
                    answer = failover::promotion_answer::behind;
                }
                step(failover::promote_answer{action.claim, action.server, action.requested_term,
                                              answer, read_term(status.fields, "granted")});
            });
}

void group_watch::perform(const failover::follow_primary& action)
{
    const fleet::server& primary = m_servers.at(action.primary.server).server;
    const std::string port = std::to_string(primary.port + 1);
    const std::vector<std::string> arguments{std::to_string(action.primary.primary_term.value()),
                                             "'" + primary.address + "'", port,
                                             "'" + primary.name + "'"};
    m_servers.at(action.server)
        .monitor->call(call_text("group_follow", arguments), [](const server_status&) {});
}

void group_watch::perform(const failover::read_claim& /*action*/)
{
    m_claims.read([this](const failover::claim_read& answer) { step(answer); });
}

void group_watch::perform(const failover::write_claim& action)
{
    m_claims.write(action.row, [this](const failover::claim_written& answer) { step(answer); });
}

void group_watch::perform(const failover::send_suspicion& /*action*/)
{
    // Not needed: every daemon is a home of all servers of its groups and detects failures
    // itself.
}

void group_watch::perform(const failover::announce& action)
{
    log().info("a server became primary",
               {{"group", m_database},
                {"term", action.primary.primary_term.value()},
                {"server", m_servers.at(action.primary.server).server.name}});
    // Other daemons are homes of the same servers and learn the primary from them.
    publish();
}

void group_watch::perform(const failover::order_finished& action)
{
    const auto found = m_orders.find(action.order);
    if (found != m_orders.end()) {
        found->second(action);
        m_orders.erase(found);
    }
}

failover::primary_view group_watch::primary_from(const nlohmann::json& fields) const
{
    const auto found = m_names.find(fields.value("primary", std::string{}));
    if (found == m_names.end()) {
        return {};
    }
    return {read_term(fields, "term"), found->second};
}

void group_watch::apply_status(watched_server& target, const server_status& status)
{
    const nlohmann::json& fields = status.fields;
    const auto age = fields.value("age_us", duration::rep{-1});
    target.view.reachable = true;
    target.view.applied = read_position(fields, "applied");
    // The server measures the age when it answers, which is after the request was sent;
    // subtracting it from the time of the request never makes the data seem newer.
    target.view.current_at = age < 0 ? routing::never : status.asked_at - duration{age};
    target.view.expected_wait = steady_now() - status.asked_at;
    target.reported = primary_from(fields);
    target.reports_primary = fields.value("role", std::string{}) == "primary";

    failover::health_report report;
    report.server = target.server.id;
    report.role =
        target.reports_primary ? failover::server_role::primary : failover::server_role::replica;
    report.primary = target.reported;
    report.granted = read_term(fields, "granted");
    report.highest_seen = report.granted;
    report.last = read_position(fields, "last");
    report.primary_contact_age = duration{fields.value("contact_age_us", duration::rep{0})};
    step(report);
    publish();
}

void group_watch::on_server_lost(watched_server& target)
{
    target.view.reachable = false;
    target.reports_primary = false;
    publish();
}

void group_watch::publish()
{
    routing::group_view view;
    view.id = m_group;
    view.current_term = m_watcher.highest_term();
    for (const auto& [id, server] : m_servers) {
        view.servers.push_back(server.view);
    }
    const failover::primary_view& known = m_watcher.known_primary();
    if (known.primary_term > term{}) {
        view.primary = known.server;
    }
    m_on_view(view);
}

} // namespace gypsumstep::daemon
