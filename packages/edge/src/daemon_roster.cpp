#include "daemon_roster.h"

#include "gypsumstep/logging/logging.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace gypsumstep::edge {
namespace {

/// Timeout of one call to the store.
constexpr duration call_timeout = 1500ms;

/// Age at which this daemon renews its announcement: when it does so itself, together with those of
/// the daemons that take the store's contents from it, and when another daemon should have done so.
/// Each renewal is a store call, and these cost money.
constexpr promotion::store_time own_renewal_age{30'000};
constexpr promotion::store_time late_renewal_age{65'000};

/// Interval between checks of the announcement's age.
constexpr duration check_interval = 10s;

/// Delays after which the announcement is written again once the store went back: daemons that
/// announce others with themselves come first, the others only if they are not announced by then.
constexpr duration first_again_delay = 200ms;
constexpr duration last_again_delay = 1400ms;
constexpr duration first_again_delay_of_others = 1500ms;
constexpr duration last_again_delay_of_others = 2s;

/// Backoff before a failed call is retried.
constexpr duration retry_backoff = 1s;

const logging::logger& log()
{
    static const logging::logger instance{"roster"};
    return instance;
}

} // namespace

daemon_roster::daemon_roster(const adapter::node_settings& settings, store_clock& clock,
                             store_era& era, std::uint64_t seed, roster_events events)
    : m_self{settings.name, settings.domain, settings.clients.host, settings.forwarding_port,
             settings.capacity},
      m_random{seed}, m_events{std::move(events)}, m_homes{settings.name, settings.domain,
                                                           settings.regions},
      m_store{settings.store.host, settings.store.port, &era}, m_clock{clock}
{
    m_announcement_timer.setSingleShot(true);
    connect(&m_announcement_timer, &QTimer::timeout, this, [this] { check_announcement(); });
    era.add_listener([this](dropped_state& dropped) { dropped.calls += on_store_rolled_back(); });
}

std::size_t daemon_roster::on_store_rolled_back()
{
    const std::size_t dropped = m_store.cancel();
    m_announcing = false;
    if (!m_loaded) {
        return dropped;
    }
    // A list of the new era tells whether this daemon is announced there.
    m_announced_at.reset();
    const bool others_announce = m_events.is_announced_by_another();
    m_announce_again = !others_announce;
    const duration delay =
        others_announce ? m_random.between(first_again_delay_of_others, last_again_delay_of_others)
                        : m_random.between(first_again_delay, last_again_delay);
    m_announcement_timer.start(std::chrono::ceil<std::chrono::milliseconds>(delay));
    return dropped;
}

void daemon_roster::on_list(const std::vector<homes::announcement>& announcements,
                            const std::vector<homes::announcement>& carried)
{
    std::vector<homes::daemon_entry> daemons;
    for (const homes::announcement& announcement : announcements) {
        if (announcement.daemon == m_self) {
            m_announced_at = std::max(m_announced_at.value_or(announcement.announced_at),
                                      announcement.announced_at);
        }
        if (!homes::is_expired(announcement, m_clock.now())) {
            daemons.push_back(announcement.daemon);
        }
    }
    for (const homes::announcement& announcement : carried) {
        if (!homes::is_expired(announcement, m_clock.now())) {
            daemons.push_back(announcement.daemon);
        }
    }
    const std::vector<homes::daemon_entry> before = m_homes.daemons();
    m_homes.set_daemons(std::move(daemons));
    const bool is_first = !std::exchange(m_loaded, true);
    if (is_first || m_homes.daemons() != before) {
        log().info("read the daemons' announcements",
                   {{"daemons", static_cast<std::uint64_t>(m_homes.daemons().size())}});
        m_events.changed();
    }
    if (is_first) {
        check_announcement();
    }
}

void daemon_roster::check_announcement()
{
    const duration next = check_interval;
    m_announcement_timer.start(
        std::chrono::ceil<std::chrono::milliseconds>(m_random.between(next * 3 / 4, next)));
    // After a restart, the announcement of the life before still holds for a while.
    const bool can_wait = m_events.is_announced_by_another() || !m_announced_here;
    const auto renewal_age = can_wait ? late_renewal_age : own_renewal_age;
    if (m_announce_again || !m_announced_at || m_clock.now() - *m_announced_at >= renewal_age) {
        announce();
    }
}

void daemon_roster::announce()
{
    if (m_announcing) {
        return;
    }
    m_announcing = true;
    const promotion::store_time now = m_clock.now();
    std::vector<homes::announcement> announcements{{m_self, now}};
    for (const homes::daemon_entry& daemon : m_events.companions()) {
        if (announcements.size() < adapter::max_announcements) {
            announcements.push_back({daemon, now});
        }
    }
    m_store.call(adapter::write_announcements(announcements), call_timeout,
                 [this, now](const auto& response) { on_announced(response, now); });
}

void daemon_roster::on_announced(const result<adapter::http_response>& response,
                                 promotion::store_time time)
{
    m_announcing = false;
    const bool done = response.has_value() &&
                      adapter::outcome_of(response.value()) == promotion::call_outcome::done;
    if (done) {
        m_announced_at = time;
        m_announce_again = false;
        if (!std::exchange(m_announced_here, true)) {
            m_events.announced();
        }
        return;
    }
    log().warn(
        "could not announce this daemon",
        {{"cause", response.has_error() ? response.error().message
                                        : "status " + std::to_string(response.value().status)}});
    m_announcement_timer.start(std::chrono::ceil<std::chrono::milliseconds>(
        m_random.between(retry_backoff, retry_backoff * 2)));
}

} // namespace gypsumstep::edge
