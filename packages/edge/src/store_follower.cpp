#include "store_follower.h"

#include "gypsumstep/logging/logging.h"

#include <algorithm>
#include <utility>

namespace gypsumstep::edge {
namespace {

/// How long the store is asked to hold a feed request until something changes; it holds it for
/// 30 s at most. Long, because each store call costs money; keep-alive probes detect a dead
/// connection earlier.
constexpr duration feed_wait = 28s;

/// Time beyond feed_wait for the answer to arrive.
constexpr duration feed_answer_margin = 1500ms;

/// Timeout of one read of the store, which answers within milliseconds unless it has problems.
constexpr duration read_timeout = 1500ms;

/// Interval between readings of the registrations while nothing is wrong. It grows with the
/// number of daemons within these limits, because store calls cost money. Two of these
/// intervals are short enough to leave a draining server in time.
constexpr duration normal_interval = 2s;
constexpr duration normal_interval_per_daemon = 45ms;
constexpr duration max_normal_interval = 4s;

/// Intervals while a server's registration is missing, and while a group has no primary.
constexpr duration missing_server_interval = 1s;
constexpr duration urgent_interval = 300ms;

/// Interval of a daemon that serves no group. It reads the registrations at once when a session
/// is forwarded to it.
constexpr duration idle_interval = 30s;

/// First and longest backoff after a failure. The actual delay is random, so that the daemons do
/// not all retry at the same time.
constexpr duration first_backoff = 100ms;
constexpr duration max_backoff = 1s;

const logging::logger& log()
{
    static const logging::logger instance{"store"};
    return instance;
}

duration next_backoff(duration previous)
{
    return previous == duration{0} ? first_backoff : std::min(previous * 2, max_backoff);
}

} // namespace

store_follower::store_follower(const adapter::endpoint& store, std::uint64_t seed,
                               store_events events)
    : m_events{std::move(events)}, m_random{seed}, m_feed_client{store.host, store.port},
      m_read_client{store.host, store.port}
{
    m_configuration_timer.setSingleShot(true);
    m_servers_timer.setSingleShot(true);
    connect(&m_configuration_timer, &QTimer::timeout, this, [this] { read_configuration(); });
    connect(&m_servers_timer, &QTimer::timeout, this, [this] { read_servers(); });
}

void store_follower::start()
{
    read_configuration();
    read_servers();
}

void store_follower::reload()
{
    m_read_client.call(adapter::read_configuration(), read_timeout, [this](const auto& response) {
        if (response.has_error()) {
            return;
        }
        auto row = adapter::decode_configuration_row(response.value());
        if (row.has_value() && row.value().value) {
            m_events.configuration_read(std::move(*row.value().value));
        }
    });
}

void store_follower::read_configuration()
{
    m_feed_client.call(adapter::read_configuration(), read_timeout,
                       [this](const auto& response) { on_configuration(response, false); });
}

void store_follower::await_configuration_change()
{
    m_feed_client.call(adapter::await_configuration(m_version, feed_wait),
                       feed_wait + feed_answer_margin,
                       [this](const auto& response) { on_configuration(response, true); });
}

void store_follower::on_configuration(const result<adapter::http_response>& response, bool is_feed)
{
    auto row = response.has_error() ? result<adapter::configuration_row>{response.error()}
                                    : adapter::decode_configuration_row(response.value());
    if (row.has_error()) {
        const bool history_gone = is_feed && row.error().code == error_code::not_found;
        if (!history_gone) {
            update_availability(false, row.error().message);
            m_configuration_backoff = next_backoff(m_configuration_backoff);
        }
        const duration delay =
            history_gone ? duration{0}
                         : m_random.between(m_configuration_backoff / 2, m_configuration_backoff);
        m_configuration_timer.start(std::chrono::ceil<std::chrono::milliseconds>(delay));
        return;
    }
    update_availability(true, "");
    m_configuration_backoff = duration{0};
    m_version = std::max(m_version, row.value().moment.version);
    m_events.store_clock_read(row.value().moment.now);
    if (row.value().value) {
        m_events.configuration_read(std::move(*row.value().value));
    }
    else if (!is_feed) {
        log().info("the store holds no configuration yet");
    }
    await_configuration_change();
}

void store_follower::refresh_servers()
{
    if (m_reading_servers) {
        m_refresh_requested = true;
        return;
    }
    const auto soon = std::chrono::ceil<std::chrono::milliseconds>(urgent_interval / 2);
    if (!m_servers_timer.isActive() ||
        std::chrono::milliseconds{m_servers_timer.remainingTime()} > soon) {
        m_servers_timer.start(soon);
    }
}

void store_follower::check_read_interval()
{
    const auto interval = std::chrono::ceil<std::chrono::milliseconds>(read_interval());
    if (m_servers_timer.isActive() &&
        std::chrono::milliseconds{m_servers_timer.remainingTime()} > interval) {
        m_servers_timer.start(interval);
    }
}

void store_follower::read_servers()
{
    if (m_reading_servers) {
        return;
    }
    m_reading_servers = true;
    m_refresh_requested = false;
    m_servers.clear();
    m_malformed_rows.clear();
    read_page({});
}

void store_follower::read_page(const std::optional<std::string>& page_start)
{
    m_read_client.call(adapter::read_servers(page_start), read_timeout,
                       [this](const auto& response) { on_servers(response); });
}

void store_follower::on_servers(const result<adapter::http_response>& response)
{
    auto page = response.has_error() ? result<adapter::server_rows>{response.error()}
                                     : adapter::decode_server_rows(response.value());
    if (page.has_error()) {
        m_reading_servers = false;
        update_availability(false, page.error().message);
        m_servers_backoff = next_backoff(m_servers_backoff);
        schedule_servers(m_random.between(m_servers_backoff / 2, m_servers_backoff));
        return;
    }
    auto& servers = page.value().servers;
    std::move(servers.begin(), servers.end(), std::back_inserter(m_servers));
    auto& malformed = page.value().malformed;
    std::move(malformed.begin(), malformed.end(), std::back_inserter(m_malformed_rows));
    if (page.value().next) {
        read_page(page.value().next);
        return;
    }
    m_reading_servers = false;
    m_servers_backoff = duration{0};
    update_availability(true, "");
    if (m_malformed_rows != m_reported_malformed_rows) {
        m_reported_malformed_rows = m_malformed_rows;
        for (const std::string& row : m_reported_malformed_rows) {
            log().warn("ignored a malformed registration", {{"entry", row}});
        }
    }
    m_events.store_clock_read(page.value().moment.now);
    m_events.servers_read(m_servers);
    const duration delay = m_refresh_requested ? urgent_interval : read_interval();
    schedule_servers(m_random.between(delay * 9 / 10, delay));
}

duration store_follower::read_interval() const
{
    switch (m_events.server_listing_urgency()) {
    case proxy::listing_urgency::urgent:
        return urgent_interval;
    case proxy::listing_urgency::soon:
        return missing_server_interval;
    case proxy::listing_urgency::normal:
        return std::clamp(normal_interval_per_daemon *
                              static_cast<std::int64_t>(m_events.daemon_count()),
                          normal_interval, max_normal_interval);
    case proxy::listing_urgency::none:
        break;
    }
    return idle_interval;
}

void store_follower::schedule_servers(duration delay)
{
    m_servers_timer.start(std::chrono::ceil<std::chrono::milliseconds>(delay));
}

void store_follower::update_availability(bool available, const std::string& cause)
{
    if (available == m_available) {
        return;
    }
    m_available = available;
    if (available) {
        log().info("the store answers again");
    }
    else {
        log().warn("lost the store; going on with the last known data", {{"cause", cause}});
    }
}

} // namespace gypsumstep::edge
