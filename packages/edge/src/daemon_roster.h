/// \file
/// Announces this daemon in the store and learns which others there are.
#pragma once

#include "http_caller.h"
#include "store_clock.h"

#include "gypsumstep/adapter/node_settings.h"
#include "gypsumstep/base/random.h"
#include "gypsumstep/homes/home_table.h"

#include <QTimer>

#include <functional>
#include <string>

namespace gypsumstep::edge {

/// Keeps the table of homes up to date.
class daemon_roster : public QObject {
public:
    /// \param on_change called when the daemons changed
    daemon_roster(const adapter::node_settings& settings, store_clock& clock, std::uint64_t seed,
                  std::function<void()> on_change);

    /// Reads the list, and announces this daemon once the store's clock is known from it.
    void start();

    [[nodiscard]] homes::home_table& homes() { return m_homes; }
    [[nodiscard]] const homes::home_table& homes() const { return m_homes; }

    /// True once the list was read.
    [[nodiscard]] bool known() const { return m_known; }

private:
    void announce();
    void read_list();
    void on_list(const result<adapter::http_response>& response);

    homes::daemon_entry m_self;
    random_source m_random;
    std::function<void()> m_on_change;
    homes::home_table m_homes;
    http_caller m_store;
    QTimer m_next_announcement;
    QTimer m_next_list;
    store_clock& m_clock;
    bool m_known{false};
    std::size_t m_lists{0}; ///< read so far
};

} // namespace gypsumstep::edge
