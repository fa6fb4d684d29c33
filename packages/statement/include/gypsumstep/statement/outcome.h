/// \file
/// Outcomes of statements, and which of them guarantee that no effect remains.
#pragma once

#include "gypsumstep/base/position.h"
#include "gypsumstep/statement/statement.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gypsumstep::statement {

/// Error classes of backend servers and of the proxy.
enum class error_class : std::uint8_t {
    none,
    busy,             ///< did not run: no capacity
    aborted,          ///< did not run, or its transaction was rolled back
    lagging,          ///< did not run: the server's log is behind
    read_only,        ///< did not run: the server is not the primary
    misrouted,        ///< did not run: another server answers at this address
    too_many,         ///< did not run: no connection is free
    unknown_name,     ///< did not run: no such prepared statement
    unknown_database, ///< did not run: no route has this name
    unauthorized,     ///< did not run: the key is of no client account
    malformed,        ///< did not run: not valid in this state
    failed,           ///< ran, and failed
    timeout,          ///< may have run
    outcome_unknown,  ///< may have run
    other,            ///< a class that the proxy does not know
};

/// Returns true if this class guarantees the client that no effect of its attempt remains.
[[nodiscard]] constexpr bool guarantees_no_effect(error_class value)
{
    switch (value) {
    case error_class::busy:
    case error_class::aborted:
    case error_class::lagging:
    case error_class::read_only:
    case error_class::misrouted:
    case error_class::too_many:
        return true;
    default:
        return false;
    }
}

/// Returns the name that logs and metrics use.
[[nodiscard]] const char* to_string(error_class value);

/// A complete answer, from a backend server or from the proxy itself.
struct answer {
    std::vector<std::string> rows;
    std::string signature; ///< signature of the server that ran it; empty if the proxy answered
    error_class error{error_class::none};
    std::string error_code; ///< as sent by the server; empty if the proxy answered
    std::string error_text;
    transaction_state state{transaction_state::idle};
    std::optional<log_position> position; ///< position of the server's log

    [[nodiscard]] bool ok() const { return error == error_class::none; }

    friend bool operator==(const answer&, const answer&) = default;
};

} // namespace gypsumstep::statement
