#include "daemon_roster.h"

#include "gypsumstep/logging/logging.h"

#include <array>
#include <utility>
#include <vector>

namespace gypsumstep::edge {
namespace {

/// Timeout of one call to the store. The list is small, and the next call makes up for a
/// failed one.
constexpr duration call_timeout = 1500ms;

/// Interval between announcements of this daemon. Each is a store call, and these cost money.
constexpr duration announcement_interval = 40s;

/// A daemon whose announcement is older than this counts as ended. Long enough that one
/// announcement may be lost.
constexpr promotion::store_time announcement_lifetime{90'000};

/// Backoff before a failed call is retried.
constexpr duration retry_backoff = 1s;

/// Interval between the first two readings of the list, short because other daemons may be
/// starting and announcing themselves at the same time, and interval between all later ones.
constexpr std::array<duration, 2> list_intervals{3s, 30s};

const logging::logger& log()
{
    static const logging::logger instance{"roster"};
    return instance;
}

std::chrono::milliseconds to_milliseconds(duration interval)
{
    return std::chrono::ceil<std::chrono::milliseconds>(interval);
}

} // namespace

daemon_roster::daemon_roster(const adapter::node_settings& settings, store_clock& clock,
                             std::uint64_t seed, std::function<void()> on_change)
    : m_self{settings.name, settings.domain, settings.clients.host, settings.forwarding_port,
             settings.capacity},
      m_random{seed}, m_on_change{std::move(on_change)}, m_homes{settings.name, settings.domain,
                                                                 settings.regions},
      m_store{settings.store.host, settings.store.port}, m_clock{clock}
{
    m_announcement_timer.setSingleShot(true);
    m_list_timer.setSingleShot(true);
    connect(&m_announcement_timer, &QTimer::timeout, this, [this] { announce(); });
    connect(&m_list_timer, &QTimer::timeout, this, [this] { read_list(); });
}

void daemon_roster::start()
{
    read_list();
}

void daemon_roster::announce()
{
    const homes::announcement row{m_self, m_clock.now()};
    m_store.call(adapter::write_announcement(row), call_timeout, [this](const auto& response) {
        const bool done = response.has_value() &&
                          adapter::outcome_of(response.value()) == promotion::call_outcome::done;
        if (!done) {
            log().warn("could not announce this daemon",
                       {{"cause", response.has_error()
                                      ? response.error().message
                                      : "status " + std::to_string(response.value().status)}});
        }
        const duration interval = done ? announcement_interval : retry_backoff;
        m_announcement_timer.start(to_milliseconds(m_random.between(interval * 3 / 4, interval)));
    });
}

void daemon_roster::read_list()
{
    m_store.call(adapter::read_announcements(), call_timeout,
                 [this](const auto& response) { on_list_read(response); });
}

void daemon_roster::on_list_read(const result<adapter::http_response>& response)
{
    const auto read = response.has_error() ? result<adapter::announcement_rows>{response.error()}
                                           : adapter::decode_announcements(response.value());
    if (read.has_error()) {
        log().warn("could not read the daemons' announcements", {{"cause", read.error().message}});
        m_list_timer.start(to_milliseconds(m_random.between(retry_backoff / 2, retry_backoff)));
        return;
    }
    for (const std::string& row : read.value().malformed) {
        log().warn("ignored a malformed announcement", {{"row", row}});
    }
    m_clock.set(read.value().moment.now);
    if (m_lists_read == 0) {
        announce();
    }
    const auto oldest = m_clock.now() - announcement_lifetime;
    std::vector<homes::daemon_entry> daemons;
    for (const homes::announcement& announcement : read.value().announcements) {
        if (announcement.announced_at >= oldest) {
            daemons.push_back(announcement.daemon);
        }
    }
    const std::vector<homes::daemon_entry> before = m_homes.daemons();
    m_homes.set_daemons(std::move(daemons));
    if (!m_loaded || m_homes.daemons() != before) {
        log().info("read the daemons' announcements",
                   {{"daemons", static_cast<std::uint64_t>(m_homes.daemons().size())}});
        m_loaded = true;
        m_on_change();
    }
    const duration interval = list_intervals.at(std::min(m_lists_read, list_intervals.size() - 1));
    ++m_lists_read;
    m_list_timer.start(to_milliseconds(m_random.between(interval * 3 / 4, interval)));
}

} // namespace gypsumstep::edge
