#include "operator_endpoint.h"

#include "clock.h"
#include "operator_replies.h"

#include "gypsumstep/logging/logging.h"
#include "gypsumstep/runtime/event_loop_thread.h"

#include <QHostAddress>
#include <QUrlQuery>

#include <openssl/crypto.h>

#include <memory>

namespace gypsumstep::daemon {
namespace {

using nlohmann::json;

constexpr const char* program_version = "0.1.0";
constexpr duration configuration_stale_after = 10s;
constexpr std::string_view bearer_prefix = "Bearer ";

bool equal_in_constant_time(const std::string& left, const std::string& right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::int64_t milliseconds(duration value)
{
    return std::chrono::floor<std::chrono::milliseconds>(value).count();
}

std::uint64_t wall_clock_ms()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count());
}

std::string random_patch_id()
{
    return "op-" + std::to_string(wall_clock_ms()) + "-" + std::to_string(std::rand()); // NOLINT
}

} // namespace

operator_endpoint::operator_endpoint(const settings::daemon_settings& settings,
                                     configuration_service& configuration,
                                     metrics::registry& registry, view_channel& views)
    : m_settings{settings}, m_configuration{configuration}, m_registry{registry}, m_views{views}
{
    add_read_routes();
    add_order_routes();
}

bool operator_endpoint::listen()
{
    const QHostAddress address{QString::fromStdString(m_settings.operators.address)};
    return m_server.listen(address, m_settings.operators.port) != 0;
}

void operator_endpoint::drain()
{
    m_views.drain([this](const routing::group_view& view) { m_groups[view.id] = view; });
}

bool operator_endpoint::is_authorized(const QHttpServerRequest& request) const
{
    const std::string authorization = request.value("Authorization").toStdString();
    if (!authorization.starts_with(bearer_prefix)) {
        return false;
    }
    bool matches = false;
    for (const std::string& key : m_settings.operator_keys) {
        // Compares every key, so that the response time does not reveal which one matches.
        matches =
            equal_in_constant_time(authorization.substr(bearer_prefix.size()), key) || matches;
    }
    return matches;
}

void operator_endpoint::add_read_routes()
{
    m_server.route("/v1/metrics", [this] {
        return QHttpServerResponse{"text/plain; version=0.0.4",
                                   QByteArray::fromStdString(m_registry.expose(steady_now()))};
    });
    m_server.route("/v1/status", [this](const QHttpServerRequest& request) {
        return is_authorized(request) ? json_response(status_code::Ok, status())
                                      : error_response(status_code::Unauthorized, "unknown key");
    });
    m_server.route("/v1/config",
                   [this](const QHttpServerRequest& request, QHttpServerResponder&& responder) {
                       const reply answer = make_reply(std::move(responder));
                       const QString version = request.query().queryItemValue("version");
                       if (!is_authorized(request)) {
                           answer(error_response(status_code::Unauthorized, "unknown key"));
                       }
                       else if (version.isEmpty()) {
                           answer(json_response(status_code::Ok, m_configuration.document()));
                       }
                       else {
                           show_version(version.toULongLong(), answer);
                       }
                   });
    m_server.route("/v1/config/history",
                   [this](const QHttpServerRequest& request, QHttpServerResponder&& responder) {
                       const reply answer = make_reply(std::move(responder));
                       if (!is_authorized(request)) {
                           answer(error_response(status_code::Unauthorized, "unknown key"));
                           return;
                       }
                       show_history(answer);
                   });
    m_server.route("/v1/report", [] {
        return error_response(status_code::NotImplemented,
                              "this daemon does not make the report yet");
    });
}

void operator_endpoint::add_order_routes()
{
    const auto add = [this](const char* path, auto handler) {
        m_server.route(
            path, QHttpServerRequest::Method::Post,
            [this, handler](const QHttpServerRequest& request, QHttpServerResponder&& responder) {
                const reply answer = make_reply(std::move(responder));
                if (!is_authorized(request)) {
                    answer(error_response(status_code::Unauthorized, "unknown key"));
                    return;
                }
                const json body = json::parse(request.body().toStdString(), nullptr, false);
                if (!body.is_object()) {
                    answer(error_response(status_code::BadRequest, "not a JSON object"));
                    return;
                }
                handler(body, answer);
            });
    };
    add("/v1/config/patch", [this](const json& body, const reply& answer) { patch(body, answer); });
    add("/v1/promote", [this](const json& body, const reply& answer) { promote(body, answer); });
    add("/v1/drain",
        [this](const json& body, const reply& answer) { patch_server_flag(body, answer); });
    add("/v1/freeze",
        [this](const json& body, const reply& answer) { patch_automation(body, answer); });
    add("/v1/log-level", [](const json& body, const reply& answer) {
        const auto level = logging::parse_level(body.value("level", std::string{}));
        if (!level) {
            answer(error_response(status_code::BadRequest, "unknown level"));
            return;
        }
        logging::set_level(*level);
        answer(json_response(status_code::Ok, body));
    });
}

operator_endpoint::json operator_endpoint::status() const
{
    json groups = json::array();
    for (const auto& [id, view] : m_groups) {
        groups.push_back(group_status(view));
    }
    return {{"daemon",
             {{"name", m_settings.name},
              {"failure_domain", m_settings.failure_domain},
              {"version", program_version}}},
            {"config",
             {{"version", m_configuration.version().value()},
              {"confirmed_ms_ago", milliseconds(m_configuration.confirmed_ago())}}},
            {"groups", groups},
            {"peers", json::array()},
            {"alarms", alarms()}};
}

operator_endpoint::json operator_endpoint::group_status(const routing::group_view& view) const
{
    json servers = json::array();
    std::string primary;
    for (const routing::server_view& server : view.servers) {
        const std::string& name = m_fleet.servers[server.id.value()].name;
        const bool is_primary = view.primary == server.id;
        primary = is_primary ? name : primary;
        const bool age_known = server.current_at != routing::never;
        std::string state = is_primary ? "primary" : "replica";
        state = server.leaving ? "leaving" : state;
        servers.push_back(
            {{"name", name},
             {"state", server.reachable ? state : "unreachable"},
             {"applied", to_string(server.applied)},
             {"lag_ms",
              age_known ? json(milliseconds(steady_now() - server.current_at)) : json(nullptr)}});
    }
    return {{"name", m_fleet.groups[view.id.value()].name},
            {"term", view.current_term.value()},
            {"primary", primary},
            {"servers", servers}};
}

operator_endpoint::json operator_endpoint::alarms() const
{
    json list = json::array();
    if (m_configuration.confirmed_ago() > configuration_stale_after) {
        list.push_back({{"code", "platform_down"},
                        {"text", "the platform has not confirmed the configuration lately"}});
    }
    for (const auto& [id, view] : m_groups) {
        bool has_primary = false;
        for (const routing::server_view& server : view.servers) {
            has_primary = has_primary || (view.primary == server.id && server.reachable);
        }
        if (!has_primary) {
            list.push_back({{"code", "group_without_primary"},
                            {"text", "group " + m_fleet.groups[id.value()].name +
                                         " has no primary within reach"}});
        }
    }
    return list;
}

void operator_endpoint::show_version(std::uint64_t version, const reply& answer)
{
    m_configuration.read_version(config_version{version}, [answer](const result<json>& document) {
        answer(document.has_value()
                   ? json_response(status_code::Ok, document.value())
                   : error_response(status_code::NotFound, document.error().message));
    });
}

void operator_endpoint::show_history(const reply& answer)
{
    m_configuration.read_history([answer](
                                     const result<std::vector<config::change_record>>& changes) {
        if (changes.has_error()) {
            return answer(error_response(status_code::ServiceUnavailable, changes.error().message));
        }
        json list = json::array();
        for (const config::change_record& change : changes.value()) {
            list.push_back(config::to_json(change));
        }
        answer(json_response(status_code::Ok, {{"versions", list}}));
    });
}

void operator_endpoint::submit(const config::patch& change, const reply& answer)
{
    if (!config::is_patch_id(change.id)) {
        return answer(
            error_response(status_code::BadRequest, "\"id\" must be 1 to 64 letters or digits"));
    }
    m_configuration.submit(change, [answer](const config::submission_outcome& outcome) {
        answer(outcome_response(outcome));
    });
}

void operator_endpoint::patch(const json& body, const reply& answer)
{
    config::patch change;
    change.id = body.value("id", std::string{});
    change.base = config_version{body.value("base", std::uint64_t{0})};
    change.content = body.value("merge", json::object());
    change.author = body.value("author", std::string{});
    change.reason = body.value("reason", std::string{});
    change.time_ms = wall_clock_ms();
    return submit(change, answer);
}

void operator_endpoint::patch_server_flag(const json& body, const reply& answer)
{
    const std::string name = body.value("server", std::string{});
    for (const fleet::server& candidate : m_fleet.servers) {
        if (candidate.name != name) {
            continue;
        }
        config::patch change;
        change.id = random_patch_id();
        change.base = m_configuration.version();
        const std::string& group = m_fleet.groups[candidate.group.value()].name;
        change.content["groups"][group]["servers"][name]["leaving"] = true;
        change.author = "operator";
        change.reason = "drain " + name;
        change.time_ms = wall_clock_ms();
        return submit(change, answer);
    }
    return answer(error_response(status_code::NotFound, "there is no server \"" + name + "\""));
}

void operator_endpoint::patch_automation(const json& body, const reply& answer)
{
    const std::string group = body.value("group", std::string{});
    if (!m_configuration.document().value("groups", json::object()).contains(group)) {
        return answer(error_response(status_code::NotFound, "there is no group \"" + group + "\""));
    }
    const bool frozen = body.value("frozen", true);
    config::patch change;
    change.id = random_patch_id();
    change.base = m_configuration.version();
    change.content["groups"][group]["automation"] = !frozen;
    change.author = "operator";
    change.reason = (frozen ? "freeze " : "release ") + group;
    change.time_ms = wall_clock_ms();
    return submit(change, answer);
}

void operator_endpoint::promote(const json& body, const reply& answer)
{
    const std::string group_name = body.value("group", std::string{});
    const std::string server_name = body.value("server", std::string{});
    for (const fleet::server& candidate : m_fleet.servers) {
        if (candidate.name != server_name ||
            m_fleet.groups[candidate.group.value()].name != group_name || m_home == nullptr) {
            continue;
        }
        const auto on_finished = [this, answer](const failover::order_finished& order) {
            runtime::post(*this, [answer, order] {
                const bool done = order.outcome == failover::order_outcome::done;
                const json body_fields{{"term", order.primary.primary_term.value()}};
                answer(done ? json_response(status_code::Ok, body_fields)
                            : error_response(status_code::Conflict, order.reason));
            });
        };
        runtime::post(*m_home, [home = m_home, group = candidate.group, server = candidate.id,
                                on_finished] { home->promote(group, server, on_finished); });
    }
    return answer(error_response(status_code::NotFound, "there is no such group or server"));
}

} // namespace gypsumstep::daemon
