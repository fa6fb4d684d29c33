/// \file
/// The store's contents as this daemon knows them, read from the store or through another daemon.
#pragma once

#include "relay_client.h"
#include "relay_server.h"
#include "store_clock.h"
#include "store_reader.h"

#include "gypsumstep/adapter/node_settings.h"
#include "gypsumstep/directory/route_table.h"
#include "gypsumstep/directory/server_directory.h"
#include "gypsumstep/relay/source_choice.h"

#include <QObject>
#include <QTimer>

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gypsumstep::edge {

/// Callbacks for what was read, and for what the reading depends on.
struct store_events {
    std::function<void(directory::configuration)> configuration_read;
    std::function<void(const std::vector<directory::server_entry>&)> servers_read;
    /// Receives the listed announcements, and those of an earlier era that still count.
    std::function<void(const std::vector<homes::announcement>& listed,
                       const std::vector<homes::announcement>& carried)>
        daemons_read;
    /// Returns how soon this daemon needs the registrations again.
    std::function<proxy::listing_urgency()> server_listing_urgency;
};

/// Follows the store. In a failure domain of many daemons a few of them read it and pass its
/// contents on; see relay::source_choice.
///
/// A reading that is older than one known already, by the store's era and version, is ignored,
/// whatever way it came.
///
/// When the store goes back to a copy of its contents, everything is read again. For a short time
/// what the daemon knew of the servers and daemons counts against rows of the copy, until their
/// writers have written them again. A configuration is only replaced by a newer one, by its own
/// version.
class store_view : public QObject {
public:
    /// \param guard bounds what the subscribers' connections hold; outlives the view
    store_view(const adapter::node_settings& settings, store_clock& clock, store_era& era,
               std::uint64_t seed, connection_guard& guard, store_events events);

    /// Listens for subscribers and starts to follow the store; false if the address cannot be
    /// used.
    [[nodiscard]] bool start();

    /// Checks the source, and how urgently the registrations are needed.
    void on_tick(time_point now);

    /// Reads the registrations at once, or asks for them.
    void read_servers_now();

    /// Has the registrations read soon.
    void refresh_servers();

    /// Reads the daemons' announcements from the store at once.
    void read_daemons_now() { m_reader.read_now(store_subject::daemons); }

    /// Reads the configuration from the store at once, at most twice a second.
    void reload();

    /// Ends the subscriptions of other daemons.
    void begin_shutdown();

    /// Whether this daemon reads the store itself.
    [[nodiscard]] bool reads_store() const { return m_reader.is_active(); }

    /// Returns the daemons that take the store's contents from this one.
    [[nodiscard]] std::vector<homes::daemon_entry> subscribers() const
    {
        return m_relay_server.subscribers();
    }

private:
    void on_store_rolled_back(dropped_state& dropped);
    /// Records the version of a reading; false if it is older than what is known.
    [[nodiscard]] bool accept(store_subject subject, const adapter::store_moment& moment);
    void pass_on_servers();
    void on_rows(store_subject subject, const adapter::stored_rows& rows);
    bool apply_configuration(const adapter::stored_rows& rows);
    bool apply_servers(const adapter::stored_rows& rows);
    bool apply_daemons(const adapter::stored_rows& rows);
    void on_relay_message(const std::string& reader, const relay_message& message);
    void set_daemons(std::vector<homes::announcement> listed);
    void follow(const relay::source& source);
    void update_intervals();
    void report_malformed(store_subject subject, const std::vector<std::string>& rows);
    [[nodiscard]] proxy::listing_urgency urgency(time_point now) const;
    [[nodiscard]] duration failing_for(time_point now) const;

    const homes::daemon_entry m_self;
    const bool m_is_bootstrap;
    store_clock& m_clock;
    store_era& m_era;
    store_events m_events;
    store_reader m_reader;
    relay_server m_relay_server;
    relay_client m_relay_client;
    relay::source_choice m_choice;
    std::map<std::string, homes::daemon_entry> m_readers; ///< that may be subscribed to
    QTimer m_bootstrap_timer;
    std::uint16_t m_relay_port;
    std::size_t m_daemon_count{1};
    std::size_t m_lists_read{0}; ///< readings of the daemons' announcements
    time_point m_first_list_at{};
    time_point m_next_first_read{};
    std::array<std::uint64_t, store_subject_count> m_versions{}; ///< newest reading, by subject
    std::vector<directory::server_entry> m_servers;              ///< as listed
    std::map<std::string, std::uint64_t> m_server_versions;      ///< of their rows
    std::vector<directory::server_entry> m_servers_in_use;       ///< as passed on
    std::vector<homes::announcement> m_announcements;            ///< as passed on
    /// What was in use when the store went back.
    std::vector<directory::server_entry> m_servers_before;
    std::vector<homes::announcement> m_announcements_before;
    /// Version of the first reading of the era; rows with later ones were written in the era.
    std::optional<std::uint64_t> m_first_version;
    time_point m_rolled_back_at{};
    bool m_rolled_back{false};
    std::vector<homes::daemon_entry> m_daemons; ///< as last passed on
    time_point m_daemons_passed_on_at{};
    std::optional<config_version> m_configuration; ///< version last passed on
    std::array<std::vector<std::string>, store_subject_count> m_reported; ///< malformed rows
    std::optional<relay_status> m_upstream;                               ///< of the reader
    time_point m_confirmed_at{}; ///< when the configuration was known to be the newest
    time_point m_upstream_at{};
    time_point m_servers_wanted_until{};
    time_point m_reloaded_at{};
};

} // namespace gypsumstep::edge
