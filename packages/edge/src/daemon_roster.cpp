#include "daemon_roster.h"

#include "gypsumstep/logging/logging.h"

#include <array>
#include <utility>
#include <vector>

namespace gypsumstep::edge {
namespace {

/// One call; the list is small and the next one corrects a lost one.
constexpr duration call_limit = 1500ms;

/// Between announcements of this daemon; each is a paid call.
constexpr duration announcement_interval = 40s;

/// Announcements older than this are of daemons that ended; one may be lost.
constexpr promotion::store_time announcement_lifetime{90'000};

/// Pause before a call that failed is repeated.
constexpr duration retry_pause = 1s;

/// Pauses before the second reading of the list after a start, when the other daemons
/// announce themselves as well, and between all later ones.
constexpr std::array<duration, 2> list_pauses{3s, 30s};

const logging::logger& log()
{
    static const logging::logger instance{"roster"};
    return instance;
}

std::chrono::milliseconds to_timer(duration pause)
{
    return std::chrono::ceil<std::chrono::milliseconds>(pause);
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
    m_next_announcement.setSingleShot(true);
    m_next_list.setSingleShot(true);
    connect(&m_next_announcement, &QTimer::timeout, this, [this] { announce(); });
    connect(&m_next_list, &QTimer::timeout, this, [this] { read_list(); });
}

void daemon_roster::start()
{
    read_list();
}

void daemon_roster::announce()
{
    const homes::announcement value{m_self, m_clock.now()};
    m_store.call(adapter::write_announcement(value), call_limit, [this](const auto& response) {
        const bool done = response.has_value() &&
                          adapter::outcome_of(response.value()) == promotion::call_outcome::done;
        if (!done) {
            log().warn("could not announce this daemon",
                       {{"cause", response.has_error()
                                      ? response.error().message
                                      : "status " + std::to_string(response.value().status)}});
        }
        const duration pause = done ? announcement_interval : retry_pause;
        m_next_announcement.start(to_timer(m_random.between(pause * 3 / 4, pause)));
    });
}

void daemon_roster::read_list()
{
    m_store.call(adapter::read_announcements(), call_limit,
                 [this](const auto& response) { on_list(response); });
}

void daemon_roster::on_list(const result<adapter::http_response>& response)
{
    const auto read = response.has_error() ? result<adapter::announcement_rows>{response.error()}
                                           : adapter::decode_announcements(response.value());
    if (read.has_error()) {
        log().warn("could not read the daemons' announcements", {{"cause", read.error().message}});
        m_next_list.start(to_timer(m_random.between(retry_pause / 2, retry_pause)));
        return;
    }
    for (const std::string& each : read.value().malformed) {
        log().warn("ignored a malformed announcement", {{"row", each}});
    }
    m_clock.set(read.value().moment.now);
    if (m_lists == 0) {
        announce();
    }
    const auto oldest = m_clock.now() - announcement_lifetime;
    std::vector<homes::daemon_entry> daemons;
    for (const homes::announcement& each : read.value().announcements) {
        if (each.announced_at >= oldest) {
            daemons.push_back(each.daemon);
        }
    }
    const std::vector<homes::daemon_entry> before = m_homes.daemons();
    m_homes.set_daemons(std::move(daemons));
    if (!m_known || m_homes.daemons() != before) {
        log().info("read the daemons' announcements",
                   {{"daemons", static_cast<std::uint64_t>(m_homes.daemons().size())}});
        m_known = true;
        m_on_change();
    }
    const duration pause = list_pauses.at(std::min(m_lists, list_pauses.size() - 1));
    ++m_lists;
    m_next_list.start(to_timer(m_random.between(pause * 3 / 4, pause)));
}

} // namespace gypsumstep::edge
