// Limits the operations of accounts: holds the statements of this daemon's own sessions back.
#include "edge_process.h"

#include "boot_clock.h"

#include "gypsumstep/logging/logging.h"

#include <utility>

namespace gypsumstep::edge {
namespace {

const logging::logger& log()
{
    static const logging::logger instance{"sessions"};
    return instance;
}

} // namespace

operation_limits edge_process::limits_of_forwarded_sessions()
{
    operation_limits limits;
    limits.limited_account =
        [this](const adapter::start_message& start) -> std::optional<std::string> {
        const directory::route* const route =
            m_allowance_gate.is_active() ? m_proxy.routes().find(start.database) : nullptr;
        if (route == nullptr) {
            return std::nullopt;
        }
        directory::authorization checked = m_proxy.authorize(*route, start.key);
        return m_allowance_gate.is_limited(checked.account)
                   ? std::optional{std::move(checked.account)}
                   : std::nullopt;
    };
    limits.start = [this](const std::string& account, session_id id,
                          allowance_gate::decided on_decided) {
        m_allowance_gate.start(account, id, std::move(on_decided));
    };
    limits.cancel = [this](session_id id) { m_allowance_gate.cancel(id); };
    return limits;
}

void edge_process::update_accounts()
{
    const auto& accounts = m_proxy.routes().current().accounts;
    // Without accounts that have a rate, daemons that exchange no claims need no port. It is opened
    // before the first message is sent, which would bind the socket to another port.
    if (allowance_gate::has_limits(accounts) && !m_peer_link.is_listening() &&
        !m_peer_link.listen(m_settings.clients.host, m_settings.forwarding_port)) {
        log().error("cannot receive messages about allowances; accounts with a rate are refused",
                    {{"port", static_cast<std::uint64_t>(m_settings.forwarding_port)}});
    }
    const bool was_active = m_allowance_gate.is_active();
    m_allowance_gate.set_accounts(accounts);
    if (!was_active) {
        read_own_announcement();
    }
}

void edge_process::read_own_announcement()
{
    // The next reading is up to 3 s away, and without keepers all limited accounts are refused.
    if (m_allowance_gate.is_active() && m_roster.is_announced() && !m_allowance_gate.is_listed()) {
        m_store_view.read_daemons_now();
    }
}

void edge_process::on_own_statement(session_id id, statement::statement request)
{
    if (!m_allowance_gate.is_active() && !m_held.contains(id)) {
        m_proxy.on_client_statement(id, std::move(request), boot_now());
        return;
    }
    held_statements& held = m_held[id];
    if (held.queue.size() >= max_held_statements) {
        log().warn("closed a client's connection",
                   {{"session", id.value()}, {"cause", "it sent too far ahead"}});
        m_client_listener.close(id);
        on_client_closed(id);
        return;
    }
    held.queue.push_back(std::move(request));
    release_held(id);
}

void edge_process::release_held(session_id id)
{
    // Whether a statement starts an operation is known once all earlier ones are answered.
    for (auto found = m_held.find(id);
         found != m_held.end() && !found->second.awaits_token && !m_proxy.is_running_statement(id);
         found = m_held.find(id)) {
        held_statements& held = found->second;
        if (held.queue.empty()) {
            m_held.erase(found);
            return;
        }
        const auto account = m_proxy.account_of_operation(id, held.queue.front().kind);
        if (account && m_allowance_gate.is_limited(*account)) {
            held.awaits_token = true;
            m_allowance_gate.start(*account, id,
                                   [this, id](const std::optional<std::string>& refusal) {
                                       on_token_decided(id, refusal);
                                   });
            return;
        }
        statement::statement next = std::move(held.queue.front());
        held.queue.pop_front();
        m_proxy.on_client_statement(id, std::move(next), boot_now());
        m_client_listener.set_kept(id, m_proxy.session_state_bytes(id));
    }
}

void edge_process::on_token_decided(session_id id, const std::optional<std::string>& refusal)
{
    const auto found = m_held.find(id);
    if (found == m_held.end() || !found->second.awaits_token) {
        return;
    }
    found->second.awaits_token = false;
    statement::statement next = std::move(found->second.queue.front());
    found->second.queue.pop_front();
    if (refusal) {
        // Through the proxy, whose earlier answers to the session may not be sent yet.
        m_proxy.refuse_operation(id, *refusal, boot_now());
    }
    else {
        m_proxy.on_client_statement(id, std::move(next), boot_now());
    }
    release_held(id);
    run_actions();
}

bool edge_process::drop_held(session_id id)
{
    const auto found = m_held.find(id);
    if (found == m_held.end()) {
        return false;
    }
    const bool waiting = !found->second.queue.empty();
    if (found->second.awaits_token) {
        m_allowance_gate.cancel(id);
    }
    m_held.erase(found);
    return waiting;
}

} // namespace gypsumstep::edge
