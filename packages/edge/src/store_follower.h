/// \file
/// Follows the configuration and the servers' registrations in the store.
#pragma once

#include "http_client.h"

#include "gypsumstep/adapter/node_settings.h"
#include "gypsumstep/base/random.h"
#include "gypsumstep/proxy/proxy.h"

#include <QTimer>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace gypsumstep::edge {

/// Callbacks for what was read from the store, and for what the reading depends on.
struct store_events {
    std::function<void(directory::configuration)> configuration_read;
    std::function<void(const std::vector<directory::server_entry>&)> servers_read;
    /// Returns how soon the registrations should be read again.
    std::function<proxy::listing_urgency()> server_listing_urgency;
    /// Returns the number of daemons that read the store.
    std::function<std::size_t()> daemon_count;
    std::function<void(promotion::store_time)> store_clock_read;
};

/// Reads the configuration when it changes, and the registrations at intervals that depend on how
/// urgently they are needed.
class store_follower : public QObject {
public:
    store_follower(const adapter::endpoint& store, std::uint64_t seed, store_events events);

    void start();

    /// Schedules the next reading of the registrations soon, after half of the shortest interval.
    void refresh_servers();

    /// Brings the next reading of the registrations forward if they are needed more urgently
    /// than when it was scheduled.
    void check_read_interval();

    /// Reads the registrations at once, unless they are being read already.
    void read_servers_now() { read_servers(); }

    /// Reads the configuration at once, independently of the feed of changes.
    void reload();

private:
    void read_configuration();
    void await_configuration_change();
    void on_configuration(const result<adapter::http_response>& response, bool is_feed);
    void read_servers();
    void read_page(const std::optional<std::string>& page_start);
    void on_servers(const result<adapter::http_response>& response);
    void schedule_servers(duration delay);
    [[nodiscard]] duration read_interval() const;
    /// Logs when the store becomes unavailable or available again.
    void update_availability(bool available, const std::string& cause);

    store_events m_events;
    random_source m_random;
    http_client m_feed_client;
    http_client m_read_client;
    QTimer m_configuration_timer;
    QTimer m_servers_timer;
    std::uint64_t m_version{0};
    duration m_configuration_backoff{0};
    duration m_servers_backoff{0};
    bool m_reading_servers{false};
    bool m_refresh_requested{false};
    bool m_available{true};
    std::vector<directory::server_entry> m_servers; ///< from the pages read so far
    std::vector<std::string> m_reported_malformed_rows;
    std::vector<std::string> m_malformed_rows;
};

} // namespace gypsumstep::edge
