/// \file
/// Decides which server connections of client accounts are opened and closed.
///
/// A server connection belongs to one account, and a server admits fewer connections than there
/// are accounts. A new connection occupies a slot of the server, so the decisions here weigh the
/// expected reuse of a connection against the cost of opening it again.
#pragma once

#include "gypsumstep/base/ids.h"
#include "gypsumstep/base/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace gypsumstep::dispatch {

/// Time for which a new connection occupies a slot of its server, as specified for the platform.
inline constexpr duration handshake_slot_time = 12ms;

/// Tracks how often the accounts use connections to one server, and for how long.
class account_usage {
public:
    /// Records that a statement or transaction of the account took a connection.
    void on_taken(const std::string& account, time_point now);

    /// Records that a connection was returned after it had been taken for \p held.
    void on_returned(duration held);

    /// Returns how often per second the account recently took a connection.
    [[nodiscard]] double rate(std::string_view account, time_point now) const;

    /// Returns the mean time for which a connection is taken.
    [[nodiscard]] duration mean_hold() const { return m_mean_hold; }

    /// Returns how often per second the last of \p connections connections of the account is
    /// expected to be used, if each statement takes the first free one.
    [[nodiscard]] double reuse_rate(std::string_view account, std::uint32_t connections,
                                    time_point now) const;

    /// Returns the account with the highest rate; empty if none was recorded.
    [[nodiscard]] std::string busiest(time_point now) const;

private:
    /// A count of uses that decays exponentially.
    struct decaying_count {
        double value{0};
        time_point at{};
    };

    std::map<std::string, decaying_count, std::less<>> m_uses;
    duration m_mean_hold{30ms}; ///< initial estimate: a usual statement
};

/// What an open connection is used for, as far as these decisions depend on it.
enum class connection_use : std::uint8_t { opening, idle, running, in_transaction };

/// A connection of this daemon to one server.
struct pooled_connection {
    std::string_view account;
    connection_use use{connection_use::idle};
    time_point idle_since{}; ///< meaningful if idle

    friend bool operator==(const pooled_connection&, const pooled_connection&) = default;
};

/// An idle connection chosen to be closed.
struct closable_connection {
    std::size_t place{0};   ///< in the span of connections
    double reuse_rate{0.0}; ///< expected uses per second

    friend bool operator==(const closable_connection&, const closable_connection&) = default;
};

/// Returns the idle connection with the lowest expected reuse, or nothing if none is idle. Of
/// equal ones it returns the one that has been idle longest. Never returns a connection that is
/// opening, runs a statement or holds a transaction.
/// \param needed_by account whose own connections are not chosen; empty optional for any
[[nodiscard]] std::optional<closable_connection>
choose_to_close(std::span<const pooled_connection> connections, const account_usage& usage,
                std::optional<std::string_view> needed_by, time_point now);

/// The input to the decision whether a connection is opened for a waiting statement.
struct opening_input {
    std::uint32_t running{0};        ///< connections of the account that run a statement
    std::uint32_t opening{0};        ///< connections of the account that are being opened
    std::uint32_t waiting_before{0}; ///< statements of the account that take these first
    duration mean_hold{0};
    duration opening_time{0};      ///< from the decision to the first statement
    double reuse_rate{0.0};        ///< expected uses per second of the new connection
    double closed_reuse_rate{0.0}; ///< of the connection closed for it; 0 if none has to be

    friend bool operator==(const opening_input&, const opening_input&) = default;
};

/// Returns the expected wait until one of the account's connections is free; nothing if it has
/// none that runs a statement or is being opened. A connection that holds a transaction does not
/// count, since its client decides when it is free.
[[nodiscard]] std::optional<duration> wait_for_own_connection(const opening_input& input);

/// Returns true if a new connection is worth its slot time: the account has none, or waiting for
/// one takes much longer than opening one.
[[nodiscard]] bool is_opening_worthwhile(const opening_input& input);

/// Returns true if the connection that would be closed is expected to be used more often than
/// the one that would be opened. A read then rather takes a farther server that has a connection.
[[nodiscard]] bool displaces_better_connection(const opening_input& input);

/// Limits how many connections a daemon opens to one server per second, so that handshakes take
/// only a bounded share of the server's slots whatever the load.
class handshake_pace {
public:
    /// Largest share of a server's slots that the handshakes of all daemons may occupy. At a
    /// quarter, urgent statements still find a slot within one statement's time.
    static constexpr double slot_share = 0.25;

    /// Handshakes that may be saved up: those of this time, and at least the minimum. Covers the
    /// first statements of clients that connect at the same time.
    static constexpr duration saving_time = 250ms;
    static constexpr double min_saved = 4.0;

    /// Handshakes that only the most urgent statements may use.
    static constexpr double urgent_reserve = 1.0;

    /// Sets the limit for a server with \p slots slots that \p daemons daemons share.
    void set_capacity(std::uint32_t slots, std::uint32_t daemons, time_point now);

    /// Returns true if a connection may be opened now.
    [[nodiscard]] bool may_open(bool urgent, time_point now) const;

    /// Records that a connection is opened, also if it was not subject to the limit.
    void on_opened(time_point now);

    /// Returns the time until \p waiting statements more have a connection opened for each.
    [[nodiscard]] duration wait_for(std::size_t waiting, time_point now) const;

private:
    [[nodiscard]] double saved(time_point now) const;
    [[nodiscard]] double max_saved() const;

    double m_rate{slot_share / 0.012}; ///< per second: one slot for this daemon alone
    double m_saved{std::numeric_limits<double>::max()}; ///< bounded by max_saved()
    time_point m_updated{};
};

/// Connections of an account to a server, and the statements that wait for them, during one pass
/// over the queue.
struct account_demand {
    std::uint32_t running{0};
    std::uint32_t opening{0};
    std::uint32_t waiting{0}; ///< statements visited before in this pass
    bool is_blocked{false};   ///< no connection can be opened in this pass
};

/// The demand of the accounts at the servers of a group during one pass over the queue, so that
/// each connection that is being opened is counted for one waiting statement only.
using demand_table = std::map<std::pair<server_id, std::string>, account_demand>;

/// Returns how long a statement is expected to wait at a server whose connections are all taken.
/// \param mean_hold usual time for which a connection is taken
/// \param mean_age mean time for which the present ones have been taken; a longer age shows that
///     clients pause in their transactions
[[nodiscard]] duration wait_for_returned_connection(duration mean_hold, duration mean_age,
                                                    std::size_t waiting_before,
                                                    std::uint32_t connections);

} // namespace gypsumstep::dispatch
