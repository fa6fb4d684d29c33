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

/// Interval between the lines that tell what a daemon that is not ready waits for; longer than a
/// start takes while the store answers.
constexpr duration unready_report_interval = 5s;

/// Interval between ticks while sessions wait for their start or the process is to end.
constexpr duration waiting_tick_interval = 20ms;

/// Lowest id of the sessions that other daemons forward to this one; sessions of this daemon's
/// own clients have lower ids.
constexpr session_id first_forwarded_session{1ULL << 40U};

/// The process exits this long before the end of the grace period, when it would be killed.
constexpr duration stop_margin = 250ms;

/// Lowest bound on what all connections hold: enough for one message of the largest size and its
/// copies, so that it is served on any VM.
constexpr std::size_t min_connection_bytes = 4 * adapter::max_message_bytes;

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
    options.old_primary_stops = settings.old_primary_stops;
    options.adapts_to_uneven_servers = settings.adapts_to_uneven_servers;
    options.accounts_required = settings.accounts_required;
    options.max_pipelined = settings.connections.statements_ahead;
    return options;
}

guard_limits limits_of(const adapter::connection_limits& settings)
{
    guard_limits limits;
    const auto memory = static_cast<double>(settings.memory_mb << 20U);
    limits.connections.max_bytes =
        std::max(static_cast<std::size_t>(memory * settings.memory_share), min_connection_bytes);
    limits.connections.statements_ahead = settings.statements_ahead;
    limits.connections.start_timeout = settings.start_timeout;
    limits.connections.message_timeout = settings.message_timeout;
    limits.connections.unread_timeout = settings.unread_timeout;
    limits.max_descriptors = settings.max_descriptors;
    return limits;
}

logging::level level_of(proxy::importance importance)
{
    return importance == proxy::importance::failure ? logging::level::warn : logging::level::info;
}

} // namespace

edge_process::edge_process(adapter::node_settings settings, std::string settings_file,
                           line_logger& log_output)
    : m_settings{std::move(settings)}, m_settings_file{std::move(settings_file)},
      m_log_output{log_output}, m_metrics{m_registry}, m_proxy{proxy_options(m_settings)},
      m_peer_link{{
          [this](const promotion::peer_message& message) {
              // A message of a daemon that knows a later era tells that the store went back.
              if (message.store_era > m_era.current()) {
                  (void)m_era.observe(message.store_era);
              }
              m_proxy.on_peer_message(message, boot_now());
              run_actions();
          },
          [this](const allowance::message& message) {
              m_allowance_gate.on_message(message);
              run_actions();
          },
      }},
      m_allowance_gate{m_settings, seed_of(m_settings), m_registry,
                       [this](const std::string& daemon, const allowance::message& message) {
                           m_peer_link.send(daemon, message);
                       }},
      m_roster{m_settings,
               m_clock,
               m_era,
               seed_of(m_settings),
               {
                   [this] { on_daemons_changed(); },
                   [this] { return m_store_view.subscribers(); },
                   [this] { return !m_store_view.reads_store(); },
                   [this] { read_own_announcement(); },
               }},
      m_guard{limits_of(m_settings.connections), m_registry},
      m_client_listener{client_listener_events(), session_id{1}, adapter::line_sender::client,
                        m_guard},
      m_forwarding_listener{forwarding_listener_events(), first_forwarded_session,
                            adapter::line_sender::daemon, m_guard},
      m_forwarder{m_client_listener,
                  m_roster.homes(),
                  seed_of(m_settings),
                  [this](const adapter::start_message& start) { return terms_of(start); },
                  [this](session_id id, const adapter::start_message& start) {
                      m_proxy.on_client_connected(id, boot_now());
                      m_proxy.on_client_start(id, start.database, start.key, boot_now());
                      run_actions();
                  },
                  limits_of_forwarded_sessions()},
      m_server_connections{
          m_settings.name,
          {
              [this](proxy::server_connection_id id, statement::answer answer) {
                  m_proxy.on_server_answer(id, std::move(answer), boot_now());
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
      m_store_view{m_settings,
                   m_clock,
                   m_era,
                   seed_of(m_settings),
                   m_guard,
                   {
                       [this](directory::configuration configuration) {
                           m_proxy.on_configuration(std::move(configuration), boot_now());
                           update_accounts();
                           retry_forwarded_starts();
                           update_served_groups();
                       },
                       [this](const std::vector<directory::server_entry>& servers) {
                           m_servers_read_at = boot_now();
                           m_proxy.on_servers(servers, m_servers_read_at);
                           retry_forwarded_starts();
                           run_actions();
                       },
                       [this](const std::vector<homes::announcement>& listed,
                              const std::vector<homes::announcement>& carried) {
                           m_roster.on_list(listed, carried);
                       },
                       [this] { return m_proxy.server_listing_urgency(); },
                   }},
      m_promotion_executor{m_settings,
                           m_clock,
                           m_era,
                           seed_of(m_settings),
                           m_proxy,
                           [this](const std::string& service) {
                               const auto limit =
                                   m_proxy.routes().settings_of(service).max_connections;
                               return m_roster.homes().homes_of(service, limit).size();
                           },
                           [this] { run_actions(); }},
      m_readiness_endpoint{[this](const std::string& path) { return readiness_response(path); },
                           m_guard},
      m_metrics_endpoint{[this](const std::string& /*path*/) { return metrics_response(); },
                         m_guard},
      m_signal_watch{{SIGTERM, SIGINT, SIGHUP}, [this](int number) { on_signal(number); }}
{
    m_era.set_first_listener([this] { m_proxy.on_store_era(m_era.current(), boot_now()); });
    m_era.add_listener(
        [this](dropped_state& /*dropped*/) { m_proxy.on_store_era(m_era.current(), boot_now()); });
    // This daemon acts as a home of no group until the other daemons are known.
    m_proxy.set_served_groups({}, boot_now());
    m_tick_timer.setSingleShot(true);
    connect(&m_tick_timer, &QTimer::timeout, this, [this] { on_tick(); });
}

client_events edge_process::client_listener_events()
{
    client_events events = forwarding_listener_events();
    events.started = [this](session_id id, const adapter::start_message& message) {
        on_client_started(id, message);
    };
    // Operations are counted where their client is connected, so not for forwarded sessions.
    events.statement_received = [this](session_id id, statement::statement request) {
        on_own_statement(id, std::move(request));
        run_actions();
        m_client_listener.set_kept(id, m_proxy.session_state_bytes(id));
    };
    return events;
}

client_events edge_process::forwarding_listener_events()
{
    client_events events;
    events.connected = [this](session_id id) { m_proxy.on_client_connected(id, boot_now()); };
    events.started = [this](session_id id, const adapter::start_message& message) {
        on_forwarded_start(id, message);
    };
    events.statement_received = [this](session_id id, statement::statement request) {
        m_proxy.on_client_statement(id, std::move(request), boot_now());
        run_actions();
        listener_of(id).set_kept(id, m_proxy.session_state_bytes(id));
    };
    events.closed = [this](session_id id) { on_client_closed(id); };
    events.malformed = [](session_id id, const std::string& cause) {
        log().warn("closed a client's connection", {{"session", id.value()}, {"cause", cause}});
    };
    return events;
}

client_listener& edge_process::listener_of(session_id id)
{
    return id < first_forwarded_session ? m_client_listener : m_forwarding_listener;
}

void edge_process::on_tick()
{
    const time_point now = boot_now();
    m_proxy.on_tick(now);
    m_store_view.on_tick(now);
    report_unready(now);
    retry_forwarded_starts();
    run_client_starts();
    m_forwarder.on_tick(now);
    run_actions();
    const bool sessions_ended =
        m_sessions_ended && !m_proxy.has_sessions() && m_forwarder.session_count() == 0;
    const bool answers_sent =
        !m_client_listener.has_unsent_answers() && !m_forwarding_listener.has_unsent_answers();
    if (m_stop_deadline && ((sessions_ended && answers_sent) || now >= *m_stop_deadline)) {
        log().info("stopped: no client is connected any more, or the grace period has ended",
                   {{"sessions_ended", sessions_ended}, {"answers_sent", answers_sent}});
        QCoreApplication::quit();
    }
    m_log_output.flush();
    m_scheduled_interval = duration::max();
    schedule_tick();
}

void edge_process::schedule_tick()
{
    const bool waiting =
        m_stop_deadline || !m_pending_client_starts.empty() || !m_pending_forwarded_starts.empty();
    const duration interval = std::min({waiting ? waiting_tick_interval : duration::max(),
                                        m_proxy.tick_interval(), m_forwarder.tick_interval()});
    // An equal or longer interval ends after the scheduled tick.
    if (interval < m_scheduled_interval) {
        m_scheduled_interval = interval;
        m_tick_timer.start(std::chrono::ceil<std::chrono::milliseconds>(interval));
    }
}

bool edge_process::start()
{
    if (!m_client_listener.listen(m_settings.clients.host, m_settings.clients.port) ||
        !m_readiness_endpoint.listen(m_settings.readiness.host, m_settings.readiness.port)) {
        log().error("cannot listen",
                    {{"clients", m_settings.clients.host},
                     {"port", static_cast<std::uint64_t>(m_settings.clients.port)}});
        return false;
    }
    if (!m_metrics_endpoint.listen(m_settings.clients.host, m_settings.metrics_port)) {
        log().warn("metrics are not served: their port is in use");
    }
    if (!m_forwarding_listener.listen(m_settings.clients.host, m_settings.forwarding_port)) {
        log().error("cannot listen for other daemons",
                    {{"port", static_cast<std::uint64_t>(m_settings.forwarding_port)}});
        return false;
    }
    if (!m_settings.old_primary_stops &&
        !m_peer_link.listen(m_settings.clients.host, m_settings.forwarding_port)) {
        log().error("cannot receive messages of other daemons",
                    {{"port", static_cast<std::uint64_t>(m_settings.forwarding_port)}});
        return false;
    }
    log().info("started", {{"daemon", m_settings.name},
                           {"domain", m_settings.domain},
                           {"store", m_settings.store.host}});
    if (!m_store_view.start()) {
        return false;
    }
    schedule_tick();
    return true;
}

void edge_process::run_actions()
{
    if (m_running_actions) {
        return;
    }
    // Running an action may make the proxy queue further ones.
    m_running_actions = true;
    for (std::vector<proxy::action> actions = m_proxy.take_actions(); !actions.empty();
         actions = m_proxy.take_actions()) {
        for (proxy::action& action : actions) {
            std::visit([this](auto& alternative) { run(alternative); }, action);
        }
    }
    m_running_actions = false;
    schedule_tick();
}

void edge_process::run(proxy::send_answer& action)
{
    listener_of(action.session).send_answer(action.session, action.content);
    release_held(action.session);
}

void edge_process::run(proxy::send_start_answer& action)
{
    listener_of(action.session).send_start_answer(action.session, action.content);
}

void edge_process::run(proxy::close_session& action)
{
    m_pending_forwarded_starts.erase(action.session);
    m_pending_client_starts.erase(action.session);
    if (drop_held(action.session)) {
        statement::answer not_run;
        not_run.error = statement::error_class::busy;
        not_run.error_text = "the statement was not sent to a server; reconnect";
        listener_of(action.session).send_answer(action.session, not_run);
    }
    listener_of(action.session).close(action.session);
}

void edge_process::run(proxy::open_server_connection& action)
{
    m_server_connections.open(action);
}

void edge_process::run(proxy::send_command& action)
{
    m_server_connections.send(action.connection, action.command);
}

void edge_process::run(proxy::close_server_connection& action)
{
    m_server_connections.close(action.connection);
}

void edge_process::run(proxy::promotion_step& action)
{
    m_promotion_executor.run(action);
}

void edge_process::run(proxy::read_claims& /*action*/)
{
    m_promotion_executor.read_claims();
}

void edge_process::run(proxy::send_peer_message& action)
{
    m_peer_link.send(action.daemon, action.content);
}

void edge_process::run(proxy::refresh_servers& /*action*/)
{
    m_store_view.refresh_servers();
}

void edge_process::run(proxy::decision& action)
{
    m_metrics.count(action);
    if (!logging::logger::enabled(level_of(action.level))) {
        return;
    }
    std::vector<logging::field> fields;
    fields.reserve(action.inputs.size() + 1);
    if (!action.request.empty()) {
        fields.push_back({"request_id", std::string_view{action.request}});
    }
    for (const auto& [key, value] : action.inputs) {
        fields.push_back({key, std::string_view{value}});
    }
    decision_log().log(level_of(action.level), action.message, fields);
}

void edge_process::run(proxy::statement_finished& action)
{
    m_metrics.count(action);
}

void edge_process::run(proxy::shutdown_complete& /*action*/)
{
    m_sessions_ended = true;
}

void edge_process::on_signal(int number)
{
    if (number == SIGHUP) {
        reload();
        return;
    }
    log().info("shutting down: waiting for open transactions, closing sessions gradually",
               {{"signal", static_cast<std::int64_t>(number)}});
    const time_point now = boot_now();
    if (!m_stop_deadline) {
        m_stop_deadline = now + m_settings.shutdown_grace - stop_margin;
    }
    m_forwarding_listener.stop_listening();
    m_store_view.begin_shutdown();
    m_forwarder.begin_shutdown({now, m_settings.shutdown_grace}, now);
    m_proxy.begin_shutdown(now);
    run_actions();
}

void edge_process::reload()
{
    const adapter::loaded_settings loaded = adapter::load_settings(m_settings_file);
    for (const finding& problem : loaded.problems) {
        log().warn("found a problem in the settings file; the current settings stay in force",
                   {{"finding", to_string(problem)}});
    }
    const bool changed = loaded.value && !(*loaded.value == m_settings);
    log().info("read the settings file again",
               {{"changed", changed}, {"in_force_after_restart", changed}});
    m_store_view.reload();
}

void edge_process::report_unready(time_point now)
{
    const bool waits = !m_stop_deadline && !(m_proxy.ready() && m_roster.is_loaded());
    if (!waits) {
        m_unready_since.reset();
        return;
    }
    if (!m_unready_since) {
        m_unready_since = now;
        m_next_unready_report = now + unready_report_interval;
    }
    if (now < m_next_unready_report) {
        return;
    }
    m_next_unready_report = now + unready_report_interval;
    log().warn("not ready for clients: waits for data of the store",
               {{"configuration", m_proxy.routes().loaded() ? "read" : "missing"},
                {"daemons", m_roster.is_loaded() ? "read" : "missing"},
                {"servers", m_proxy.has_server_list() ? "read" : "missing"},
                {"waiting_us", (now - *m_unready_since).count()}});
}

adapter::http_response edge_process::readiness_response(const std::string& path)
{
    if (path != adapter::readiness_path) {
        return {status_not_found, "not found\n"};
    }
    const bool ready = m_proxy.ready() && m_roster.is_loaded();
    if (ready != m_last_ready) {
        m_last_ready = ready;
        log().info(ready ? "ready for clients" : "not ready for clients");
    }
    return ready ? adapter::http_response{status_ok, "ready\n"}
                 : adapter::http_response{status_unavailable, "not ready\n"};
}

adapter::http_response edge_process::metrics_response()
{
    m_metrics.set(m_proxy.gauges());
    m_metrics.set(store_numbers{m_era.current(), m_era.rollbacks(), m_era.late_answers(),
                                m_promotion_executor.restored_claims()});
    m_allowance_gate.update_gauges();
    m_guard.update_metrics();
    return {status_ok, m_registry.expose(boot_now())};
}

} // namespace gypsumstep::edge
