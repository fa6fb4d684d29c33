/// \file
/// Announces this daemon in the store and reads the announcements of the other daemons.
#pragma once

#include "http_client.h"
#include "store_clock.h"

#include "gypsumstep/adapter/node_settings.h"
#include "gypsumstep/base/random.h"
#include "gypsumstep/homes/home_table.h"

#include <QTimer>

#include <functional>
#include <string>

namespace gypsumstep::edge {

/// Keeps the table of homes up to date with the daemons' announcements in the store.
class daemon_roster : public QObject {
public:
    /// \param on_change called after the first reading of the list, and after each reading
    ///     that changed the set of daemons
    daemon_roster(const adapter::node_settings& settings, store_clock& clock, std::uint64_t seed,
                  std::function<void()> on_change);

    /// Reads the list of daemons. This daemon is announced after the first reading, which
    /// also gives the store's clock for the announcement's time.
    void start();

    [[nodiscard]] homes::home_table& homes() { return m_homes; }
    [[nodiscard]] const homes::home_table& homes() const { return m_homes; }

    /// True after the list of daemons was read for the first time.
    [[nodiscard]] bool is_loaded() const { return m_loaded; }

private:
    void announce();
    void read_list();
    void on_list_read(const result<adapter::http_response>& response);

    homes::daemon_entry m_self;
    random_source m_random;
    std::function<void()> m_on_change;
    homes::home_table m_homes;
    http_client m_store;
    QTimer m_announcement_timer;
    QTimer m_list_timer;
    store_clock& m_clock;
    bool m_loaded{false};
    std::size_t m_lists_read{0}; ///< successful readings of the list
};

} // namespace gypsumstep::edge
