#include "allowance_gate.h"

#include "boot_clock.h"

#include "gypsumstep/base/random.h"
#include "gypsumstep/logging/logging.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

namespace gypsumstep::edge {
namespace {

/// Interval between log lines of refusals. A flooded account is refused hundreds of times a second.
constexpr duration refusal_log_interval = 1s;

/// Longest wait of the timer, which takes milliseconds as an int.
constexpr duration max_timer = 1h;

const logging::logger& log()
{
    static const logging::logger instance{"allowances"};
    return instance;
}

homes::daemon_entry self_of(const adapter::node_settings& settings)
{
    return {settings.name, settings.domain, settings.clients.host, settings.forwarding_port,
            settings.capacity};
}

metrics::counter& make_counter(metrics::registry& registry, const char* outcome)
{
    return registry.make_counter("gypsumstep_allowance_operations_total",
                                 "Operations of accounts with a limit, by outcome",
                                 {{"outcome", outcome}});
}

} // namespace

allowance_gate::allowance_gate(const adapter::node_settings& settings, std::uint64_t seed,
                               metrics::registry& registry, sender send)
    : m_self{self_of(settings)}, m_participant{settings.allowance_terms, m_self, settings.regions,
                                               random_source{seed}.below(
                                                   std::numeric_limits<std::uint32_t>::max())},
      m_send{std::move(send)}, m_granted{make_counter(registry, "granted")}, m_refused{make_counter(
                                                                                 registry,
                                                                                 "refused")},
      m_waited{registry.make_counter("gypsumstep_allowance_waits_total",
                                     "Operations for which no token was at hand")},
      m_waiting_operations{
          registry.make_gauge("gypsumstep_allowance_waiting", "Operations that wait for a token")},
      m_part{registry.make_gauge("gypsumstep_allowance_keeper_part",
                                 "Part of each account's limit that this daemon grants")}
{
    m_timer.setSingleShot(true);
    connect(&m_timer, &QTimer::timeout, this, [this] {
        m_participant.on_tick(boot_now());
        flush();
    });
}

bool allowance_gate::has_limits(const std::optional<accounts::account_table>& accounts)
{
    return accounts &&
           std::any_of(accounts->accounts().begin(), accounts->accounts().end(),
                       [](const auto& entry) { return entry.second.rate_per_second > 0; });
}

void allowance_gate::set_accounts(const std::optional<accounts::account_table>& accounts)
{
    allowance::account_limits limits;
    if (accounts) {
        for (const auto& [name, account] : accounts->accounts()) {
            if (account.rate_per_second > 0) {
                limits.emplace(name,
                               allowance::account_limit{account.rate_per_second, account.burst});
            }
        }
    }
    if (limits.empty() && !m_active) {
        return;
    }
    m_active = !limits.empty();
    m_participant.set_limits(std::move(limits), boot_now());
    flush();
}

void allowance_gate::set_daemons(std::vector<homes::daemon_entry> daemons)
{
    // Until its announcement is listed, this daemon stands in the list without its address.
    m_listed = std::find(daemons.begin(), daemons.end(), m_self) != daemons.end();
    if (!m_listed) {
        std::erase_if(daemons, [this](const homes::daemon_entry& entry) {
            return entry.name == m_self.name;
        });
    }
    m_participant.set_daemons(daemons, boot_now());
    flush();
}

void allowance_gate::on_message(const allowance::message& content)
{
    m_participant.on_message(content, boot_now());
    flush();
}

void allowance_gate::start(const std::string& account, session_id session, decided on_decided)
{
    if (m_participant.start(account, session.value(), boot_now())) {
        m_granted.add();
        on_decided(std::nullopt);
        return;
    }
    m_waited.add();
    m_waiting.insert_or_assign(session.value(), std::move(on_decided));
    flush();
}

void allowance_gate::cancel(session_id session)
{
    if (m_waiting.erase(session.value()) > 0) {
        m_participant.cancel(session.value());
    }
}

void allowance_gate::update_gauges()
{
    m_waiting_operations.set(static_cast<double>(m_participant.waiting()));
    m_part.set(m_participant.part());
}

void allowance_gate::flush()
{
    for (const allowance::outgoing_message& message : m_participant.take_messages()) {
        m_send(message.daemon, message.content);
    }
    // A callback may start the next operation of its session, which flushes again.
    for (const allowance::decision& made : m_participant.take_decisions()) {
        finish(made);
    }
    const time_point next = m_participant.next_tick();
    if (next == time_point::max()) {
        m_timer.stop();
        return;
    }
    const duration wait = std::clamp(next - boot_now(), duration{0}, duration{max_timer});
    m_timer.start(std::chrono::ceil<std::chrono::milliseconds>(wait));
}

void allowance_gate::finish(const allowance::decision& made)
{
    auto entry = m_waiting.extract(made.operation);
    if (entry.empty()) {
        return;
    }
    if (made.granted) {
        m_granted.add();
        entry.mapped()(std::nullopt);
        return;
    }
    m_refused.add();
    log_refusal(made);
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(made.retry_after);
    entry.mapped()("allowance used up; retry after " + std::to_string(wait.count()) + " ms");
}

void allowance_gate::log_refusal(const allowance::decision& made)
{
    const time_point now = boot_now();
    if (now < m_next_refusal_log) {
        ++m_unlogged_refusals;
        return;
    }
    m_next_refusal_log = now + refusal_log_interval;
    log().warn("refused an operation: the allowance of its account is used up",
               {{"account", std::string_view{made.account}},
                {"session", made.operation},
                {"retry_after_us", static_cast<std::int64_t>(made.retry_after.count())},
                {"waiting", static_cast<std::uint64_t>(m_participant.waiting())},
                {"not_logged_before", std::exchange(m_unlogged_refusals, 0)}});
}

} // namespace gypsumstep::edge
