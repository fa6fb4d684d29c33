/// \file
/// Announces this daemon in the store and keeps the list of the announced daemons.
#pragma once

#include "http_client.h"
#include "store_clock.h"

#include "gypsumstep/adapter/node_settings.h"
#include "gypsumstep/adapter/store_calls.h"
#include "gypsumstep/base/random.h"
#include "gypsumstep/homes/home_table.h"

#include <QObject>
#include <QTimer>

#include <functional>
#include <optional>
#include <vector>

namespace gypsumstep::edge {

/// Callbacks of the roster.
struct roster_events {
    /// Called after the first list, and after each list that changed the set of daemons.
    std::function<void()> changed;
    /// Returns the daemons that are announced together with this one.
    std::function<std::vector<homes::daemon_entry>()> companions;
    /// Whether another daemon announces this one together with itself.
    std::function<bool()> is_announced_by_another;
    /// Called when this daemon was announced for the first time in this life of the process.
    std::function<void()> announced;
};

/// Keeps the table of homes up to date with the daemons' announcements in the store, and this
/// daemon's announcement in the store.
class daemon_roster : public QObject {
public:
    daemon_roster(const adapter::node_settings& settings, store_clock& clock, store_era& era,
                  std::uint64_t seed, roster_events events);

    /// Passes the announcements that were read from the store.
    /// \param carried announcements that the store lost when it went back and that still count
    void on_list(const std::vector<homes::announcement>& announcements,
                 const std::vector<homes::announcement>& carried);

    [[nodiscard]] homes::home_table& homes() { return m_homes; }
    [[nodiscard]] const homes::home_table& homes() const { return m_homes; }

    /// True after the list of daemons was read for the first time.
    [[nodiscard]] bool is_loaded() const { return m_loaded; }

    /// True after this life of the process announced this daemon.
    [[nodiscard]] bool is_announced() const { return m_announced_here; }

private:
    std::size_t on_store_rolled_back();
    void check_announcement();
    void announce();
    void on_announced(const result<adapter::http_response>& response, promotion::store_time time);

    homes::daemon_entry m_self;
    random_source m_random;
    roster_events m_events;
    homes::home_table m_homes;
    http_client m_store;
    QTimer m_announcement_timer;
    store_clock& m_clock;
    bool m_loaded{false};
    bool m_announcing{false};
    bool m_announce_again{false};                        ///< the store lost this daemon's one
    bool m_announced_here{false};                        ///< in this life of the process
    std::optional<promotion::store_time> m_announced_at; ///< newest announcement of this daemon
};

} // namespace gypsumstep::edge
