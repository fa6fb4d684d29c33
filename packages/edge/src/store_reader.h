/// \file
/// Reads the configuration, the servers' registrations and the daemons' announcements from the
/// store.
#pragma once

#include "http_client.h"
#include "store_subject.h"

#include "gypsumstep/adapter/node_settings.h"
#include "gypsumstep/adapter/store_calls.h"
#include "gypsumstep/base/random.h"

#include <QObject>
#include <QTimer>

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace gypsumstep::edge {

/// Reads the configuration when it changes, and the lists at intervals that its owner sets. Does
/// nothing while it is not active.
class store_reader : public QObject {
public:
    /// \param rows_read receives all rows of a subject, or those of the configuration that changed
    store_reader(const adapter::endpoint& store, store_era& era, std::uint64_t seed,
                 std::function<void(store_subject, const adapter::stored_rows&)> rows_read);

    /// Starts or stops to follow the store.
    void set_active(bool active);
    [[nodiscard]] bool is_active() const { return m_active; }

    /// Sets the intervals between two readings of a list. A shorter one applies at once.
    void set_interval(store_subject list, duration interval);

    /// Sets the longest backoff after failed calls: longer for daemons that others can do without.
    void set_max_backoff(duration longest) { m_max_backoff = longest; }

    /// Brings the next reading of a list forward, or reads it again after the present reading.
    void read_soon(store_subject list, duration delay);

    /// Reads a subject at once, also while not active, unless it is being read already.
    void read_now(store_subject subject);

    /// Drops all calls and what was read so far, and reads everything again in full. Must be called
    /// when the store's era has changed.
    /// \return the number of dropped calls
    std::size_t restart();

    /// Returns for how long the calls to the store have failed; zero if they succeed or none was
    /// made since it became active.
    [[nodiscard]] duration failing_for(time_point now) const;

private:
    /// State of reading one list page by page.
    struct list_state {
        QTimer timer;
        duration interval{0};
        duration backoff{0};
        bool reading{false};
        std::optional<duration> again_after; ///< after the present reading
        std::optional<time_point> read_at;   ///< last successful reading
        time_point started_at{};
        adapter::stored_rows rows; ///< of the pages read so far
    };

    void read_configuration();
    void await_configuration_change();
    void on_configuration(const result<adapter::http_response>& response, bool is_feed,
                          time_point asked_at);
    void read_list(store_subject list);
    void read_page(store_subject list, const std::optional<std::string>& page_start);
    void on_page(store_subject list, const result<adapter::http_response>& response);
    void schedule(store_subject list, duration delay);
    [[nodiscard]] duration next_backoff(duration previous) const;
    void on_success();
    void on_failure(const std::string& cause, time_point asked_at);

    std::function<void(store_subject, const adapter::stored_rows&)> m_rows_read;
    random_source m_random;
    http_client m_feed_client;
    http_client m_read_client;
    QTimer m_configuration_timer;
    std::array<list_state, store_subject_count> m_lists; ///< by subject; configuration unused
    bool m_active{false};
    std::uint64_t m_feed_run{0};         ///< distinguishes the feed's calls before a stop
    bool m_reading_configuration{false}; ///< apart from the feed
    std::uint64_t m_version{0};          ///< newest version of the store that the feed knows
    bool m_history_gone{false};          ///< the store did not have the feed's last position
    duration m_configuration_backoff{0};
    duration m_max_backoff;
    std::optional<time_point> m_failing_since;
};

} // namespace gypsumstep::edge
