/// \file
/// Decides whether a daemon reads the store itself or takes the store's contents from another
/// daemon.
#pragma once

#include "gypsumstep/base/time.h"
#include "gypsumstep/relay/reader_order.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gypsumstep::relay {

/// Where a daemon gets the store's contents from at present.
struct source {
    std::optional<std::string> reader; ///< daemon to be subscribed to
    bool reads_store{false};           ///< reads the store itself

    friend bool operator==(const source&, const source&) = default;
};

/// Chooses the source of the store's contents.
///
/// Each failure domain has a few readers in a common order. A daemon subscribes to the first one
/// that is healthy, of the first readers in an order of its own that spreads the daemons over them.
/// Healthy is one that sends something often enough, and whose own calls to the store
/// succeed. The first readers read the store all the time, the next ones only while no reader
/// before them is healthy, all other daemons only while none is. So a daemon whose reader is
/// frozen, cut off, slow or refused by the store goes on through the next one, or reads for itself;
/// and a reader that the store refuses goes on through another one. A daemon whose readers do not
/// confirm its contents reads the store beside them, however many of them have yet to be tried.
///
/// All times must come from a clock that also advances while the VM is suspended.
class source_choice {
public:
    /// A reader that sends nothing for this long is not healthy. Readers send something each
    /// second.
    static constexpr duration silence_limit = 2500ms;

    /// A new subscription must bring something within this time.
    static constexpr duration answer_limit = 600ms;

    /// A reader whose calls to the store fail for longer is not healthy, as the other readers see
    /// it, and as the rest see it. The rest wait longer, so that one of the readers takes over
    /// first, and so that they do not all call a store that is away.
    static constexpr duration failure_limit = 1500ms;
    static constexpr duration late_failure_limit = 3s;

    /// A daemon reads the store itself while no reader has confirmed its contents for this long.
    /// A silent store shows a reader's loss only after the timeout of a call, and several readers
    /// may follow each other. Longer than a reader's wait for a change and the interval between its
    /// messages; with a reading, shorter than the time in which a configuration must be in force.
    static constexpr duration confirmation_limit = 4600ms;

    /// How long a reader that was not healthy is passed over.
    static constexpr duration retry_after = 8s;

    /// \param self name of this daemon
    explicit source_choice(std::string self) : m_self{std::move(self)} {}

    /// Replaces the readers of this daemon's failure domain, in their common order. Without
    /// readers the daemon reads the store itself.
    void set_readers(std::vector<std::string> readers, time_point now, reader_places places = {});

    /// Records that the subscribed reader sent something.
    /// \param failing_for how long the reader's own calls to the store have failed; zero if they
    ///     succeed
    /// \param confirmed_at when the reader's contents were the newest ones, as far as it knows
    void on_message(const std::string& reader, duration failing_for, time_point confirmed_at,
                    time_point now);

    /// Records for how long this daemon's own calls to the store have failed; zero if they succeed
    /// or are not made.
    void on_own_calls(duration failing_for) { m_own_failure = failing_for; }

    /// Records that the connection to the reader failed or ended.
    void on_lost(const std::string& reader, time_point now);

    /// Returns the source to use at \p now. Must be called every few tens of milliseconds.
    [[nodiscard]] source choose(time_point now);

    /// Whether this daemon is one that others may subscribe to.
    [[nodiscard]] bool is_reader() const { return place_of_self() < m_readers.size(); }

private:
    [[nodiscard]] std::size_t place_of_self() const;
    [[nodiscard]] std::optional<std::string> first_healthy(std::size_t places,
                                                           time_point now) const;
    void subscribe(const std::optional<std::string>& reader, time_point now);
    void pass_over(const std::string& reader, time_point now);
    /// Whether a reader has confirmed lately that this daemon has the newest contents.
    [[nodiscard]] bool is_confirmed(time_point now) const;
    [[nodiscard]] bool is_passed_over(const std::string& reader, time_point now) const;

    std::string m_self;
    std::vector<std::string> m_readers;
    reader_places m_places;
    std::map<std::string, time_point> m_passed_over; ///< until when
    std::optional<std::string> m_current;            ///< the reader subscribed to
    time_point m_heard_at{};                         ///< last message, or start of the subscription
    bool m_heard{false};                             ///< the subscription has brought something
    time_point m_confirmed_at{};                     ///< newest confirmation by a reader
    duration m_own_failure{0};
};

} // namespace gypsumstep::relay
