// Starts of sessions: here, at a home, or once something that they need is known.
#include "edge_process.h"

#include "boot_clock.h"

#include "gypsumstep/logging/logging.h"

#include <utility>
#include <vector>

namespace gypsumstep::edge {
namespace {

/// Time for a newer configuration and a fresh list of servers to reach this daemon too.
constexpr duration held_start_limit = 500ms;

/// Time for the list of daemons to arrive after a start; clients give up after 2 s.
constexpr duration early_start_limit = 1500ms;

/// A daemon that serves no group reads the servers again before it serves a forwarded session
/// if its list is older: as old as the list of a home may be.
constexpr duration usable_listing_age = 4s;

const logging::logger& log()
{
    static const logging::logger instance{"sessions"};
    return instance;
}

} // namespace

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
    return m_proxy.server_listing_urgency() != proxy::listing_urgency::none ||
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
    m_proxy.set_served_groups(std::move(served), boot_now());
    if (m_proxy.server_listing_urgency() > proxy::listing_urgency::none) {
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

} // namespace gypsumstep::edge
