#include "store_follower.h"

#include "gypsumstep/logging/logging.h"

#include <algorithm>
#include <utility>

namespace gypsumstep::edge {
namespace {

/// The store is asked to hold the feed this long; it holds it for 30 s at most. Each call is
/// paid for, and a connection that went silent is noticed by keep-alive probes.
constexpr duration feed_wait = 28s;

/// Beyond feed_wait, for the answer's way.
constexpr duration feed_slack = 1500ms;

/// One read of the store; it answers in milliseconds unless it is in trouble.
constexpr duration read_limit = 1500ms;

/// Between readings of the registrations while nothing is wrong, for few daemons and for
/// many: calls are paid for. A server that drains is left in time with two of these.
constexpr duration calm_pace = 2s;
constexpr duration calm_pace_for_each_daemon = 45ms;
constexpr duration longest_calm_pace = 4s;

/// The same while a server's registration is missing, and while a group has no primary.
constexpr duration missing_pace = 1s;
constexpr duration urgent_pace = 300ms;

/// The same for a daemon that serves no group; it reads them when it is asked to serve.
constexpr duration idle_pace = 30s;

/// First and longest pause after a failure; random, so that daemons do not call together.
constexpr duration first_pause = 100ms;
constexpr duration longest_pause = 1s;

const logging::logger& log()
{
    static const logging::logger instance{"store"};
    return instance;
}

duration next_pause(duration before)
{
    return before == duration{0} ? first_pause : std::min(before * 2, longest_pause);
}

} // namespace

store_follower::store_follower(const adapter::endpoint& store, std::uint64_t seed,
                               store_events events)
    : m_events{std::move(events)}, m_random{seed}, m_feed{store.host, store.port}, m_reads{
                                                                                       store.host,
                                                                                       store.port}
{
    m_configuration_retry.setSingleShot(true);
    m_next_servers.setSingleShot(true);
    connect(&m_configuration_retry, &QTimer::timeout, this, [this] { read_configuration(); });
    connect(&m_next_servers, &QTimer::timeout, this, [this] { read_servers(); });
}

void store_follower::start()
{
    read_configuration();
    read_servers();
}

void store_follower::reload()
{
    m_reads.call(adapter::read_configuration(), read_limit, [this](const auto& response) {
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
    m_feed.call(adapter::read_configuration(), read_limit,
                [this](const auto& response) { on_configuration(response, false); });
}

void store_follower::await_change()
{
    m_feed.call(adapter::await_configuration(m_version, feed_wait), feed_wait + feed_slack,
                [this](const auto& response) { on_configuration(response, true); });
}

void store_follower::on_configuration(const result<adapter::http_response>& response, bool is_feed)
{
    auto row = response.has_error() ? result<adapter::configuration_row>{response.error()}
                                    : adapter::decode_configuration_row(response.value());
    if (row.has_error()) {
        const bool history_gone = is_feed && row.error().code == error_code::not_found;
        if (!history_gone) {
            note_availability(false, row.error().message);
            m_configuration_pause = next_pause(m_configuration_pause);
        }
        const duration pause =
            history_gone ? duration{0}
                         : m_random.between(m_configuration_pause / 2, m_configuration_pause);
        m_configuration_retry.start(std::chrono::ceil<std::chrono::milliseconds>(pause));
        return;
    }
    note_availability(true, "");
    m_configuration_pause = duration{0};
    m_version = std::max(m_version, row.value().moment.version);
    m_events.store_clock_read(row.value().moment.now);
    if (row.value().value) {
        m_events.configuration_read(std::move(*row.value().value));
    }
    else if (!is_feed) {
        log().info("the store holds no configuration yet");
    }
    await_change();
}

void store_follower::refresh_servers()
{
    if (m_reading_servers) {
        m_refresh_wanted = true;
        return;
    }
    const auto soon = std::chrono::ceil<std::chrono::milliseconds>(urgent_pace / 2);
    if (!m_next_servers.isActive() ||
        std::chrono::milliseconds{m_next_servers.remainingTime()} > soon) {
        m_next_servers.start(soon);
    }
}

void store_follower::check_pace()
{
    const auto due = std::chrono::ceil<std::chrono::milliseconds>(pace());
    if (m_next_servers.isActive() &&
        std::chrono::milliseconds{m_next_servers.remainingTime()} > due) {
        m_next_servers.start(due);
    }
}

void store_follower::read_servers()
{
    if (m_reading_servers) {
        return;
    }
    m_reading_servers = true;
    m_refresh_wanted = false;
    m_listing.clear();
    m_malformed.clear();
    read_page({});
}

void store_follower::read_page(const std::optional<std::string>& from)
{
    m_reads.call(adapter::read_servers(from), read_limit,
                 [this](const auto& response) { on_servers(response); });
}

void store_follower::on_servers(const result<adapter::http_response>& response)
{
    auto page = response.has_error() ? result<adapter::server_rows>{response.error()}
                                     : adapter::decode_server_rows(response.value());
    if (page.has_error()) {
        m_reading_servers = false;
        note_availability(false, page.error().message);
        m_servers_pause = next_pause(m_servers_pause);
        schedule_servers(m_random.between(m_servers_pause / 2, m_servers_pause));
        return;
    }
    auto& servers = page.value().servers;
    std::move(servers.begin(), servers.end(), std::back_inserter(m_listing));
    auto& malformed = page.value().malformed;
    std::move(malformed.begin(), malformed.end(), std::back_inserter(m_malformed));
    if (page.value().next) {
        read_page(page.value().next);
        return;
    }
    m_reading_servers = false;
    m_servers_pause = duration{0};
    note_availability(true, "");
    if (m_malformed != m_reported_malformed) {
        m_reported_malformed = m_malformed;
        for (const std::string& each : m_reported_malformed) {
            log().warn("ignored a malformed registration", {{"entry", each}});
        }
    }
    m_events.store_clock_read(page.value().moment.now);
    m_events.servers_read(m_listing);
    const duration pause = m_refresh_wanted ? urgent_pace : pace();
    schedule_servers(m_random.between(pause * 9 / 10, pause));
}

duration store_follower::pace() const
{
    switch (m_events.need_of_listing()) {
    case proxy::listing_urgency::urgent:
        return urgent_pace;
    case proxy::listing_urgency::soon:
        return missing_pace;
    case proxy::listing_urgency::normal:
        return std::clamp(calm_pace_for_each_daemon *
                              static_cast<std::int64_t>(m_events.daemon_count()),
                          calm_pace, longest_calm_pace);
    case proxy::listing_urgency::none:
        break;
    }
    return idle_pace;
}

void store_follower::schedule_servers(duration pause)
{
    m_next_servers.start(std::chrono::ceil<std::chrono::milliseconds>(pause));
}

void store_follower::note_availability(bool available, const std::string& cause)
{
    if (available == m_available) {
        return;
    }
    m_available = available;
    if (available) {
        log().info("the store answers again");
    }
    else {
        log().warn("lost the store; going on with what is known", {{"cause", cause}});
    }
}

} // namespace gypsumstep::edge
