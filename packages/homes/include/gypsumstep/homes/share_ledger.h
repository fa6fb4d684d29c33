/// \file
/// The connections and slots that one daemon may use at the servers it homes.
///
/// An open connection is itself the right to use it, and the backend server is
/// the authority: it refuses connections beyond its own limit, which operators
/// set to the configured one. So the daemons together never hold more than the
/// limit, whatever each believes about the others. A share grows when the server
/// accepts a connection, that is when the other home's connections are gone.
/// The number of statements that run at a time follows from the connections held.
///
/// Assumes that a server which drops a daemon's connections drops all of them.
#pragma once

#include "gypsumstep/base/ids.h"
#include "gypsumstep/base/random.h"
#include "gypsumstep/base/time.h"
#include "gypsumstep/homes/share_plan.h"
#include "gypsumstep/membership/endpoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace gypsumstep::homes {

using membership::endpoint;

/// Pace of opening connections.
struct ledger_settings {
    std::uint32_t concurrent_connects{2}; ///< for each server
    duration first_backoff{100ms};        ///< after a refusal; doubles up to the longest
    duration longest_backoff{2s};

    friend bool operator==(const ledger_settings&, const ledger_settings&) = default;
};

/// The homes of a server have changed, or its limits.
struct duty_changed {
    server_id server;
    home_duty duty{home_duty::none};
    std::optional<endpoint> other; ///< the other home, or a new one if this daemon is none
    server_limits limits;

    friend bool operator==(const duty_changed&, const duty_changed&) = default;
};

/// How an attempt to connect ended.
enum class connect_outcome : std::uint8_t {
    opened,
    refused, ///< the server is at its limit
    failed,  ///< the server could not be reached
};

/// An attempt to connect has ended.
struct connect_finished {
    server_id server;
    connect_outcome outcome{connect_outcome::opened};

    friend bool operator==(const connect_finished&, const connect_finished&) = default;
};

/// A connection was lost, or closed by the server.
struct connection_lost {
    server_id server;

    friend bool operator==(const connection_lost&, const connection_lost&) = default;
};

/// The other home says that it has closed connections.
struct release_received {
    server_id server;

    friend bool operator==(const release_received&, const release_received&) = default;
};

/// A statement has ended on a server.
struct statement_finished {
    server_id server;

    friend bool operator==(const statement_finished&, const statement_finished&) = default;
};

/// The time has come that next_wakeup() named.
struct ledger_tick {
    friend bool operator==(const ledger_tick&, const ledger_tick&) = default;
};

using ledger_event = std::variant<duty_changed, connect_finished, connection_lost, release_received,
                                  statement_finished, ledger_tick>;

/// Open one connection, and report with connect_finished.
struct open_connection {
    server_id server;

    friend bool operator==(const open_connection&, const open_connection&) = default;
};

/// Close one connection that runs nothing. It no longer counts as held.
struct close_connection {
    server_id server;

    friend bool operator==(const close_connection&, const close_connection&) = default;
};

/// Tell the other home that connections have become free. May be lost.
struct send_release {
    server_id server;
    endpoint to;

    friend bool operator==(const send_release&, const send_release&) = default;
};

using ledger_action = std::variant<open_connection, close_connection, send_release>;
using ledger_actions = std::vector<ledger_action>;

/// What a daemon holds at one server.
struct server_share {
    home_duty duty{home_duty::none};
    std::uint32_t held{0};    ///< open connections
    std::uint32_t opening{0}; ///< attempts to connect
    std::uint32_t running{0}; ///< statements

    friend bool operator==(const server_share&, const server_share&) = default;
};

/// The decision core of one daemon's shares.
class share_ledger {
public:
    share_ledger(const ledger_settings& settings, random_source random);

    /// Takes one event and returns what the shell has to do, in order.
    [[nodiscard]] ledger_actions step(const ledger_event& input, time_point now);

    /// Takes a slot for a statement; false if none is free. Followed by statement_finished.
    [[nodiscard]] bool start_statement(server_id server);

    /// Statements that may run at a time on a server.
    [[nodiscard]] std::uint32_t slots(server_id server) const;

    /// What is held at a server.
    [[nodiscard]] server_share share(server_id server) const;

    /// When the next tick is due; nothing if none is.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;

private:
    struct entry {
        server_share share;
        server_limits limits;
        std::optional<endpoint> other;
        duration backoff{0};
        std::optional<time_point> retry_at;
        bool released{false}; ///< connections were closed that the other home was not told of
    };

    ledger_settings m_settings;
    random_source m_random;
    std::map<server_id, entry> m_entries;

    void handle(const duty_changed& input, time_point now);
    void handle(const connect_finished& input, time_point now);
    void handle(const connection_lost& input, time_point now);
    void handle(const release_received& input, time_point now);
    void handle(const statement_finished& input, time_point now);
    void handle(const ledger_tick& input, time_point now);
    void back_off(entry& state, time_point now);
    void settle(server_id server, entry& state, time_point now, ledger_actions& out) const;
    void close_surplus(server_id server, entry& state, ledger_actions& out) const;
};

} // namespace gypsumstep::homes
