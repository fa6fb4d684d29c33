/// \file
/// Follows the configuration and the servers' registrations in the store.
#pragma once

#include "http_caller.h"

#include "gypsumstep/adapter/node_settings.h"
#include "gypsumstep/base/random.h"
#include "gypsumstep/proxy/proxy.h"

#include <QTimer>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace gypsumstep::edge {

/// What the follower found.
struct store_events {
    std::function<void(directory::configuration)> configuration_read;
    std::function<void(const std::vector<directory::server_entry>&)> servers_read;
    std::function<proxy::listing_urgency()> need_of_listing;
    std::function<std::size_t()> daemon_count; ///< that read the store as well
    std::function<void(promotion::store_time)> store_clock_read;
};

/// Reads the configuration when it changes and the registrations at a pace.
class store_follower : public QObject {
public:
    store_follower(const adapter::endpoint& store, std::uint64_t seed, store_events events);

    void start();

    /// The registrations are read again soon.
    void refresh_servers();

    /// Brings the next reading of the registrations forward if they are needed more often
    /// than when it was planned.
    void check_pace();

    /// The registrations are read again at once.
    void read_servers_now() { read_servers(); }

    /// The configuration is read again, whatever the feed says.
    void reload();

private:
    void read_configuration();
    void await_change();
    void on_configuration(const result<adapter::http_response>& response, bool is_feed);
    void read_servers();
    void read_page(const std::optional<std::string>& from);
    void on_servers(const result<adapter::http_response>& response);
    void schedule_servers(duration pause);
    [[nodiscard]] duration pace() const;
    void note_availability(bool available, const std::string& cause);

    store_events m_events;
    random_source m_random;
    http_caller m_feed;
    http_caller m_reads;
    QTimer m_configuration_retry;
    QTimer m_next_servers;
    std::uint64_t m_version{0};
    duration m_configuration_pause{0};
    duration m_servers_pause{0};
    bool m_reading_servers{false};
    bool m_refresh_wanted{false};
    bool m_available{true};
    std::vector<directory::server_entry> m_listing;
    std::vector<std::string> m_reported_malformed;
    std::vector<std::string> m_malformed;
};

} // namespace gypsumstep::edge
