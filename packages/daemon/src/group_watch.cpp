#include "group_watch.h"

#include "clock.h"

#include <nlohmann/json.hpp>

namespace gypsumstep::daemon {
namespace {

constexpr auto poll_interval = std::chrono::milliseconds{100};
constexpr duration answer_timeout = 1s;

} // namespace

group_watch::group_watch(const fleet::document& document, group_id group, view_handler on_view)
    : m_database{document.groups[group.value()].name}, m_group{group}, m_on_view{std::move(on_view)}
{
    for (const server_id id : document.groups[group.value()].servers) {
        auto watched = std::make_unique<watched_server>();
        watched->server = document.servers[id.value()];
        watched->view.id = id;
        watched->view.leaving = watched->server.leaving;
        m_servers.push_back(std::move(watched));
    }
    connect(&m_timer, &QTimer::timeout, this, &group_watch::poll);
    m_timer.start(poll_interval);
    poll();
}

void group_watch::poll()
{
    for (const auto& each : m_servers) {
        ask(*each);
    }
}

void group_watch::reconnect(watched_server& target)
{
    const backend::connection_target where{target.server.address, target.server.port, m_database,
                                           "gypsumstep"};
    target.waiting = false;
    target.asked_at = steady_now();
    target.connection = std::make_unique<backend::connection>(
        where, [this, &target] { ask(target); },
        [this, &target] {
            target.view.reachable = false;
            publish();
        });
}

void group_watch::ask(watched_server& target)
{
    const bool overdue = steady_now() - target.asked_at > answer_timeout;
    const bool closed =
        !target.connection || target.connection->state() == backend::connection_state::closed;
    if (closed || (overdue && target.connection->state() != backend::connection_state::idle)) {
        target.view.reachable = false;
        publish();
        reconnect(target);
        return;
    }
    if (target.connection->state() != backend::connection_state::idle) {
        return;
    }
    backend::work status;
    status.sql = "SELECT group_status()";
    target.asked_at = steady_now();
    target.connection->run(status, [this, &target](const backend::work_answer& answer) {
        if (!answer.connection_lost) {
            take_status(target, answer.first_value);
        }
    });
}

void group_watch::take_status(watched_server& target, const std::string& status)
{
    const auto fields = nlohmann::json::parse(status, nullptr, false);
    if (!fields.is_object()) {
        return;
    }
    const auto age = fields.value("age_us", duration::rep{-1});
    target.view.reachable = true;
    target.view.applied =
        parse_position(fields.value("applied", std::string{})).value_or(log_position{});
    // The server's age was counted from its answer, which is not older than the question.
    target.view.current_at = age < 0 ? routing::never : target.asked_at - duration{age};
    target.view.expected_wait = steady_now() - target.asked_at;
    target.reported_term = term{fields.value("term", std::uint64_t{0})};
    target.reports_primary = fields.value("role", std::string{}) == "primary";
    publish();
}

void group_watch::publish()
{
    routing::group_view view;
    view.id = m_group;
    for (const auto& each : m_servers) {
        view.servers.push_back(each->view);
        if (each->reports_primary && each->reported_term >= view.current_term) {
            view.current_term = each->reported_term;
            view.primary = each->server.id;
        }
    }
    m_on_view(view);
}

} // namespace gypsumstep::daemon
