// Starts sessions: on this daemon, at a home, or later, once the data that they need is known.
#include "edge_process.h"

#include "boot_clock.h"

#include "gypsumstep/logging/logging.h"

#include <utility>
#include <vector>

namespace gypsumstep::edge {
namespace {

/// Longest time that a forwarded session waits until this daemon has a newer configuration and
/// a fresh list of servers as well.
constexpr duration forwarded_start_timeout = 500ms;

/// Longest time that a client's session waits for the list of daemons after this daemon's
/// start. Clients give up after 2 s.
constexpr duration client_start_timeout = 1500ms;

/// A daemon that serves no group reads the list of servers again before it starts a forwarded
/// session if its list is older than this, which is the age that a home's list may reach.
constexpr duration max_server_list_age = 4s;

const logging::logger& log()
{
    static const logging::logger instance{"sessions"};
    return instance;
}

} // namespace

void edge_process::on_client_started(session_id id, const adapter::start_message& message)
{
    if (!m_roster.is_loaded()) {
        // Without the list each daemon would consider itself a home, and the servers do not
        // accept connections from all daemons.
        m_pending_client_starts.insert_or_assign(
            id, pending_start{message, boot_now() + client_start_timeout});
        schedule_tick();
        return;
    }
    start_session(id, message);
}

void edge_process::start_session(session_id id, const adapter::start_message& message)
{
    const directory::route* const route = m_proxy.routes().find(message.database);
    // A session that the proxy will refuse is not forwarded.
    const directory::authorization client =
        route == nullptr ? directory::authorization{} : m_proxy.authorize(*route, message.key);
    if (client.granted) {
        const auto max_connections = m_proxy.routes().settings_of(route->service).max_connections;
        const homes::account_traffic account = traffic_of(client.account);
        if (!serves_session(route->service, max_connections, account)) {
            m_proxy.on_client_closed(id, boot_now());
            m_forwarder.forward(id, {{message.database, message.key, m_proxy.routes().version()},
                                     route->service,
                                     max_connections,
                                     route->statement_timeout,
                                     account});
            schedule_tick();
            return;
        }
    }
    m_proxy.on_client_start(id, message.database, message.key, boot_now());
    run_actions();
}

operation_terms edge_process::terms_of(const adapter::start_message& start) const
{
    const directory::route* const route = m_proxy.routes().find(start.database);
    if (route == nullptr) {
        return {statement::error_class::unknown_database, duration{0}};
    }
    const bool granted = m_proxy.authorize(*route, start.key).granted;
    return {granted ? statement::error_class::none : statement::error_class::unauthorized,
            route->statement_timeout};
}

bool edge_process::serves_session(const std::string& service, std::uint32_t max_connections,
                                  const homes::account_traffic& account) const
{
    const homes::home_table& table = m_roster.homes();
    if (!table.is_home(service, max_connections)) {
        return false;
    }
    // A hop inside the region costs less than the handshakes of an account whose sessions are
    // spread over the homes.
    return account.name.empty() ||
           table.serves_account(service, max_connections, account, boot_now());
}

homes::account_traffic edge_process::traffic_of(const std::string& account) const
{
    const auto& accounts = m_proxy.routes().current().accounts;
    if (account.empty() || !accounts) {
        return {};
    }
    return {account, accounts->traffic_share(account)};
}

void edge_process::on_forwarded_start(session_id id, const adapter::start_message& message)
{
    // The forwarding daemon may use a newer configuration; the session must not start under an
    // older one here.
    const bool old_configuration = !has_configuration(message);
    const bool old_server_list = !has_usable_server_list(boot_now());
    if (old_configuration || old_server_list) {
        m_pending_forwarded_starts.insert_or_assign(
            id, pending_start{message, boot_now() + forwarded_start_timeout});
        schedule_tick();
        if (old_configuration) {
            m_store_view.reload();
        }
        if (old_server_list) {
            m_store_view.read_servers_now();
        }
        return;
    }
    m_proxy.on_client_start(id, message.database, message.key, boot_now());
    run_actions();
}

bool edge_process::has_configuration(const adapter::start_message& message) const
{
    return !message.at_least || m_proxy.routes().version() >= *message.at_least;
}

bool edge_process::has_usable_server_list(time_point now) const
{
    return m_proxy.server_listing_urgency() != proxy::listing_urgency::none ||
           now - m_servers_read_at <= max_server_list_age;
}

void edge_process::retry_forwarded_starts()
{
    const time_point now = boot_now();
    std::vector<session_id> finished;
    for (const auto& [id, start] : m_pending_forwarded_starts) {
        // If the store does not answer in time, the last known list of servers is used.
        const bool caught_up = has_configuration(start.message) &&
                               (has_usable_server_list(now) || now >= start.deadline);
        if (caught_up) {
            m_proxy.on_client_start(id, start.message.database, start.message.key, now);
        }
        else if (now >= start.deadline) {
            log().warn("refused a forwarded session: this daemon has only an older configuration",
                       {{"wanted", start.message.at_least->value()},
                        {"configuration", m_proxy.routes().version().value()}});
            m_forwarding_listener.close(id);
            m_proxy.on_client_closed(id, now);
        }
        if (caught_up || now >= start.deadline) {
            finished.push_back(id);
        }
    }
    for (const session_id id : finished) {
        m_pending_forwarded_starts.erase(id);
    }
}

proxy::group_share edge_process::share_of(const std::string& service,
                                          std::uint32_t max_connections) const
{
    const homes::home_table& table = m_roster.homes();
    const std::vector<homes::daemon_entry>& homes = table.homes_of(service, max_connections);
    proxy::group_share share{table.connection_share(service, max_connections),
                             static_cast<std::uint32_t>(homes.size()), max_connections};
    for (const homes::daemon_entry& home : homes) {
        const auto region = m_settings.regions.find(home.domain);
        ++share.homes_by_region[region == m_settings.regions.end() ? home.domain : region->second];
    }
    return share;
}

void edge_process::run_client_starts()
{
    const time_point now = boot_now();
    std::vector<std::pair<session_id, adapter::start_message>> due;
    std::erase_if(m_pending_client_starts, [&](const auto& entry) {
        const bool is_due = m_roster.is_loaded() || now >= entry.second.deadline;
        if (is_due) {
            due.emplace_back(entry.first, entry.second.message);
        }
        return is_due;
    });
    for (const auto& [id, message] : due) {
        start_session(id, message);
    }
}

void edge_process::on_daemons_changed()
{
    m_peer_link.set_daemons(m_roster.homes().daemons());
    m_allowance_gate.set_daemons(m_roster.homes().daemons());
    update_served_groups();
}

void edge_process::update_exchange()
{
    const auto names_of = [](const std::vector<homes::daemon_entry>& daemons) {
        std::vector<std::string> names;
        names.reserve(daemons.size());
        for (const homes::daemon_entry& daemon : daemons) {
            names.push_back(daemon.name);
        }
        return names;
    };
    const homes::home_table& table = m_roster.homes();
    std::map<std::string, std::vector<std::string>, std::less<>> homes;
    for (const auto& [service, limits] : m_proxy.routes().current().services) {
        homes.emplace(service, names_of(table.homes_of(service, limits.max_connections)));
    }
    m_proxy.set_daemons(names_of(table.daemons()), homes);
}

void edge_process::update_served_groups()
{
    // Until the other daemons are known, each daemon would consider itself a home.
    if (!m_roster.is_loaded()) {
        return;
    }
    if (!m_settings.old_primary_stops) {
        update_exchange();
    }
    std::map<std::string, proxy::group_share, std::less<>> served;
    for (const auto& [service, limits] : m_proxy.routes().current().services) {
        if (m_roster.homes().is_home(service, limits.max_connections)) {
            served.emplace(service, share_of(service, limits.max_connections));
        }
    }
    if (served == m_served_groups) {
        return;
    }
    m_served_groups = served;
    m_proxy.set_served_groups(std::move(served), boot_now());
    if (m_proxy.server_listing_urgency() > proxy::listing_urgency::none) {
        m_store_view.refresh_servers();
    }
    run_actions();
}

void edge_process::on_client_closed(session_id id)
{
    m_pending_forwarded_starts.erase(id);
    m_pending_client_starts.erase(id);
    drop_held(id);
    if (m_forwarder.is_forwarded(id)) {
        m_forwarder.on_client_closed(id);
        return;
    }
    m_proxy.on_client_closed(id, boot_now());
    run_actions();
}

} // namespace gypsumstep::edge
