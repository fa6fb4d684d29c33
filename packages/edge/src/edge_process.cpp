#include "edge_process.h"

#include "boot_clock.h"

#include "gypsumstep/logging/logging.h"

#include <QCoreApplication>

#include <csignal>
#include <functional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

namespace gypsumstep::edge {
namespace {

/// Time between two checks of limits. Shorter than the shortest limit by a factor of ten.
constexpr std::chrono::milliseconds tick_interval{20};

/// Sessions from here on were forwarded by other daemons.
constexpr session_id first_forwarded_session{1ULL << 40U};

/// The process ends this long before it would be killed.
constexpr duration stop_margin = 250ms;

constexpr std::uint32_t status_ok = 200;
constexpr std::uint32_t status_not_found = 404;
constexpr std::uint32_t status_unavailable = 503;

const logging::logger& log()
{
    static const logging::logger instance{"edge"};
    return instance;
}

const logging::logger& decision_log()
{
    static const logging::logger instance{"proxy"};
    return instance;
}

std::uint64_t seed_of(const adapter::node_settings& settings)
{
    return std::hash<std::string>{}(settings.name) ^
           static_cast<std::uint64_t>(boot_now().time_since_epoch().count());
}

proxy::options proxy_options(const adapter::node_settings& settings)
{
    proxy::options options;
    options.daemon = settings.name;
    options.domain = settings.domain;
    options.regions = settings.regions;
    options.seed = seed_of(settings);
    options.shutdown_grace = settings.shutdown_grace;
    return options;
}

logging::level level_of(proxy::importance value)
{
    return value == proxy::importance::failure ? logging::level::warn : logging::level::info;
}

} // namespace

edge_process::edge_process(adapter::node_settings settings, std::string settings_file,
                           line_logger& output)
    : m_settings{std::move(settings)}, m_settings_file{std::move(settings_file)}, m_output{output},
      m_metrics{m_registry}, m_proxy{proxy_options(m_settings)}, m_roster{m_settings, m_clock,
                                                                          seed_of(m_settings),
                                                                          [this] {
                                                                              update_served();
                                                                          }},
      m_clients{events_of_clients(), session_id{1}}, m_forwarding_daemons{events_of_daemons(),
                                                                          first_forwarded_session},
      m_forwarder{m_clients, m_roster.homes(), seed_of(m_settings)},
      m_servers{m_settings.name,
                {
                    [this](proxy::server_connection_id id, statement::answer content) {
                        m_proxy.on_server_answer(id, std::move(content), boot_now());
                        run_actions();
                    },
                    [this](proxy::server_connection_id id, const statement::server_status& status) {
                        m_proxy.on_server_status(id, status, boot_now());
                        run_actions();
                    },
                    [this](proxy::server_connection_id id, const std::string& cause) {
                        m_proxy.on_server_connection_closed(id, cause, boot_now());
                        run_actions();
                    },
                }},
      m_store{m_settings.store,
              seed_of(m_settings),
              {
                  [this](directory::configuration next) {
                      m_proxy.on_configuration(std::move(next), boot_now());
                      retry_held_starts();
                      update_served();
                  },
                  [this](const std::vector<directory::server_entry>& listing) {
                      m_listed_at = boot_now();
                      m_proxy.on_servers(listing, m_listed_at);
                      retry_held_starts();
                      run_actions();
                  },
                  [this] { return m_proxy.server_listing_urgency(); },
                  [this] { return m_roster.homes().daemons().size(); },
                  [this](promotion::store_time now) { m_clock.set(now); },
              }},
      m_promotions{m_settings, m_clock, m_proxy,
                   [this](const std::string& service) {
                       const auto limit = m_proxy.routes().settings_of(service).max_connections;
                       return m_roster.homes().homes_of(service, limit).size();
                   },
                   [this] { run_actions(); }},
      m_readiness{[this](const std::string& path) { return respond_readiness(path); }},
      m_metrics_endpoint{[this](const std::string& /*path*/) { return respond_metrics(); }},
      m_signals{{SIGTERM, SIGINT, SIGHUP}, [this](int number) { on_signal(number); }}
{
    // Nothing is served on its own account before the other daemons are known.
    m_proxy.set_served_groups({}, boot_now());
    connect(&m_tick, &QTimer::timeout, this, [this] { on_tick(); });
}

client_events edge_process::events_of_clients()
{
    client_events events = events_of_daemons();
    events.started = [this](session_id id, const adapter::start_message& message) {
        on_client_started(id, message);
    };
    return events;
}

client_events edge_process::events_of_daemons()
{
    client_events events;
    events.connected = [this](session_id id) { m_proxy.on_client_connected(id, boot_now()); };
    events.started = [this](session_id id, const adapter::start_message& message) {
        on_forwarded_start(id, message);
    };
    events.statement_received = [this](session_id id, statement::statement request) {
        m_proxy.on_client_statement(id, std::move(request), boot_now());
        run_actions();
    };
    events.closed = [this](session_id id) { on_client_closed(id); };
    events.malformed = [](session_id id, const std::string& cause) {
        log().warn("closed a client's connection", {{"session", id.value()}, {"cause", cause}});
    };
    return events;
}

client_listener& edge_process::listener_of(session_id id)
{
    return id < first_forwarded_session ? m_clients : m_forwarding_daemons;
}

void edge_process::on_tick()
{
    const time_point now = boot_now();
    m_proxy.on_tick(now);
    m_store.check_pace();
    retry_held_starts();
    run_early_starts();
    m_forwarder.on_tick(now);
    run_actions();
    if (m_stop_limit && ((m_sessions_ended && m_forwarder.size() == 0) || now >= *m_stop_limit)) {
        log().info("stopped: no client is connected any more, or the grace period is over");
        QCoreApplication::quit();
    }
    m_output.flush();
}

bool edge_process::start()
{
    if (!m_clients.listen(m_settings.clients.host, m_settings.clients.port) ||
        !m_readiness.listen(m_settings.readiness.host, m_settings.readiness.port)) {
        log().error("cannot listen",
                    {{"clients", m_settings.clients.host},
                     {"port", static_cast<std::uint64_t>(m_settings.clients.port)}});
        return false;
    }
    if (!m_metrics_endpoint.listen(m_settings.clients.host, m_settings.metrics_port)) {
        log().warn("metrics are not served: their port is in use");
    }
    if (!m_forwarding_daemons.listen(m_settings.clients.host, m_settings.forwarding_port)) {
        log().error("cannot listen for other daemons",
                    {{"port", static_cast<std::uint64_t>(m_settings.forwarding_port)}});
        return false;
    }
    log().info("started", {{"daemon", m_settings.name},
                           {"domain", m_settings.domain},
                           {"store", m_settings.store.host}});
    // Nobody is served before the other daemons are known, so their list is not waited for
    // behind other reads.
    m_roster.start();
    m_store.start();
    m_tick.start(tick_interval);
    return true;
}

void edge_process::run_actions()
{
    if (m_running_actions) {
        return;
    }
    // Carrying out an action may cause the next ones.
    m_running_actions = true;
    for (std::vector<proxy::action> next = m_proxy.take_actions(); !next.empty();
         next = m_proxy.take_actions()) {
        for (proxy::action& each : next) {
            std::visit([this](auto& one) { run(one); }, each);
        }
    }
    m_running_actions = false;
}

void edge_process::run(proxy::send_answer& next)
{
    listener_of(next.session).send_answer(next.session, next.content);
}

void edge_process::run(proxy::send_start_answer& next)
{
    listener_of(next.session).send_start_answer(next.session, next.content);
}

void edge_process::run(proxy::close_session& next)
{
    m_held_starts.erase(next.session);
    m_early_starts.erase(next.session);
    listener_of(next.session).close(next.session);
}

void edge_process::run(proxy::open_server_connection& next)
{
    m_servers.open(next);
}

void edge_process::run(proxy::send_command& next)
{
    m_servers.send(next.connection, next.command);
}

void edge_process::run(proxy::close_server_connection& next)
{
    m_servers.close(next.connection);
}

void edge_process::run(proxy::promotion_step& next)
{
    m_promotions.run(next);
}

void edge_process::run(proxy::refresh_servers& /*next*/)
{
    m_store.refresh_servers();
}

void edge_process::run(proxy::decision& next)
{
    m_metrics.count(next);
    if (!logging::logger::enabled(level_of(next.level))) {
        return;
    }
    std::vector<logging::field> fields;
    fields.reserve(next.inputs.size() + 1);
    if (!next.request.empty()) {
        fields.push_back({"request_id", std::string_view{next.request}});
    }
    for (const auto& [key, value] : next.inputs) {
        fields.push_back({key, std::string_view{value}});
    }
    decision_log().log(level_of(next.level), next.message, fields);
}

void edge_process::run(proxy::statement_finished& next)
{
    m_metrics.count(next);
}

void edge_process::run(proxy::shutdown_complete& /*next*/)
{
    m_sessions_ended = true;
}

void edge_process::on_signal(int number)
{
    if (number == SIGHUP) {
        reload();
        return;
    }
    log().info("stopping: transactions end, idle sessions are closed bit by bit",
               {{"signal", static_cast<std::int64_t>(number)}});
    const time_point now = boot_now();
    if (!m_stop_limit) {
        m_stop_limit = now + m_settings.shutdown_grace - stop_margin;
    }
    m_forwarding_daemons.stop_listening();
    m_forwarder.begin_shutdown(now);
    m_proxy.begin_shutdown(now);
    run_actions();
}

void edge_process::reload()
{
    const adapter::loaded_settings loaded = adapter::load_settings(m_settings_file);
    for (const finding& problem : loaded.problems) {
        log().warn("kept the settings in force: the file has a problem",
                   {{"finding", to_string(problem)}});
    }
    const bool changed = loaded.value && !(*loaded.value == m_settings);
    log().info("read the settings again",
               {{"changed", changed}, {"in_force_after_restart", changed}});
    m_store.reload();
}

adapter::http_response edge_process::respond_readiness(const std::string& path)
{
    if (path != adapter::readiness_path) {
        return {status_not_found, "not found\n"};
    }
    const bool ready = m_proxy.ready() && m_roster.known();
    if (ready != m_was_ready) {
        m_was_ready = ready;
        log().info(ready ? "ready for clients" : "not ready for clients");
    }
    return ready ? adapter::http_response{status_ok, "ready\n"}
                 : adapter::http_response{status_unavailable, "not ready\n"};
}

adapter::http_response edge_process::respond_metrics()
{
    m_metrics.set(m_proxy.gauges());
    return {status_ok, m_registry.expose(boot_now())};
}

} // namespace gypsumstep::edge
