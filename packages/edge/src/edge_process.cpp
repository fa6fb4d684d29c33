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

/// Time for a newer configuration and a fresh list of servers to reach this daemon too.
constexpr duration held_start_limit = 500ms;

/// Time for the list of daemons to arrive after a start; clients give up after 2 s.
constexpr duration early_start_limit = 1500ms;

/// A daemon that serves no group reads the servers again before it serves a forwarded session
/// if its list is older: as old as the list of a home may be.
constexpr duration usable_listing_age = 4s;

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
                    [this](proxy::link_id id, statement::answer content) {
                        m_proxy.on_link_answer(id, std::move(content), boot_now());
                        run_actions();
                    },
                    [this](proxy::link_id id, const statement::server_status& status) {
                        m_proxy.on_link_status(id, status, boot_now());
                        run_actions();
                    },
                    [this](proxy::link_id id, const std::string& cause) {
                        m_proxy.on_link_closed(id, cause, boot_now());
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
                  [this] { return m_proxy.need_of_listing(); },
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
    m_proxy.set_served({}, boot_now());
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

void edge_process::on_client_started(session_id id, const adapter::start_message& message)
{
    if (!m_roster.known()) {
        // Every daemon would take itself for a home, and the servers do not admit them all.
        m_early_starts.insert_or_assign(id, held_start{message, boot_now() + early_start_limit});
        return;
    }
    start_session(id, message);
}

void edge_process::start_session(session_id id, const adapter::start_message& message)
{
    const directory::route* const route = m_proxy.routes().find(message.database);
    if (route != nullptr) {
        const auto limit = m_proxy.routes().settings_of(route->service).max_connections;
        if (!m_roster.homes().is_home(route->service, limit)) {
            m_proxy.on_client_closed(id, boot_now());
            m_forwarder.begin(id, {{message.database, m_proxy.routes().version()},
                                   route->service,
                                   limit,
                                   route->statement_timeout});
            return;
        }
    }
    m_proxy.on_client_start(id, message.database, boot_now());
    run_actions();
}

void edge_process::on_forwarded_start(session_id id, const adapter::start_message& message)
{
    // The forwarding daemon may act by a newer configuration; this one must not go back.
    const bool old_configuration = !has_configuration(message);
    const bool old_listing = !has_usable_listing(boot_now());
    if (old_configuration || old_listing) {
        m_held_starts.insert_or_assign(id, held_start{message, boot_now() + held_start_limit});
        if (old_configuration) {
            m_store.reload();
        }
        if (old_listing) {
            m_store.read_servers_now();
        }
        return;
    }
    m_proxy.on_client_start(id, message.database, boot_now());
    run_actions();
}

bool edge_process::has_configuration(const adapter::start_message& wanted) const
{
    return !wanted.at_least || m_proxy.routes().version() >= *wanted.at_least;
}

bool edge_process::has_usable_listing(time_point now) const
{
    return m_proxy.need_of_listing() != proxy::listing_need::none ||
           now - m_listed_at <= usable_listing_age;
}

void edge_process::retry_held_starts()
{
    const time_point now = boot_now();
    std::vector<session_id> done;
    for (const auto& [id, held] : m_held_starts) {
        // With the store away, the servers that are known have to do.
        const bool caught_up =
            has_configuration(held.message) && (has_usable_listing(now) || now >= held.limit);
        if (caught_up) {
            m_proxy.on_client_start(id, held.message.database, now);
        }
        else if (now >= held.limit) {
            log().warn("refused a forwarded session: its configuration is not known here",
                       {{"wanted", held.message.at_least->value()},
                        {"configuration", m_proxy.routes().version().value()}});
            m_forwarding_daemons.close(id);
            m_proxy.on_client_closed(id, now);
        }
        if (caught_up || now >= held.limit) {
            done.push_back(id);
        }
    }
    for (const session_id id : done) {
        m_held_starts.erase(id);
    }
}

proxy::group_share edge_process::share_of(const std::string& service,
                                          std::uint32_t max_connections) const
{
    const homes::home_table& table = m_roster.homes();
    return {table.connection_share(service, max_connections),
            static_cast<std::uint32_t>(table.homes_of(service, max_connections).size())};
}

void edge_process::run_early_starts()
{
    const time_point now = boot_now();
    std::vector<std::pair<session_id, adapter::start_message>> due;
    std::erase_if(m_early_starts, [&](const auto& each) {
        const bool is_due = m_roster.known() || now >= each.second.limit;
        if (is_due) {
            due.emplace_back(each.first, each.second.message);
        }
        return is_due;
    });
    for (const auto& [id, message] : due) {
        start_session(id, message);
    }
}

void edge_process::update_served()
{
    // Until the other daemons are known, every daemon would take itself for a home.
    if (!m_roster.known()) {
        return;
    }
    std::map<std::string, proxy::group_share, std::less<>> served;
    for (const auto& [service, limits] : m_proxy.routes().current().services) {
        if (m_roster.homes().is_home(service, limits.max_connections)) {
            served.emplace(service, share_of(service, limits.max_connections));
        }
    }
    if (served == m_served) {
        return;
    }
    m_served = served;
    m_proxy.set_served(std::move(served), boot_now());
    if (m_proxy.need_of_listing() > proxy::listing_need::none) {
        m_store.refresh_servers();
    }
    run_actions();
}

void edge_process::on_client_closed(session_id id)
{
    m_held_starts.erase(id);
    m_early_starts.erase(id);
    if (m_forwarder.owns(id)) {
        m_forwarder.on_client_closed(id);
        return;
    }
    m_proxy.on_client_closed(id, boot_now());
    run_actions();
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

void edge_process::run(proxy::open_link& next)
{
    m_servers.open(next);
}

void edge_process::run(proxy::send_command& next)
{
    m_servers.send(next.link, next.command);
}

void edge_process::run(proxy::close_link& next)
{
    m_servers.close(next.link);
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
    decision_log().log(level_of(next.level), next.what, fields);
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
    m_metrics.set(m_proxy.numbers());
    return {status_ok, m_registry.expose(boot_now())};
}

} // namespace gypsumstep::edge
