/// \file
/// A statement to run on a connection to a backend server, and its answer.
#pragma once

#include "gypsumstep/pgwire/backend.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gypsumstep::backend {

/// How a statement is sent.
enum class work_kind {
    simple,   ///< simple query protocol; may hold several statements
    extended, ///< one statement with parameters
    describe, ///< parameters and columns of a statement; does not run it
};

/// A statement with its parameters.
struct work {
    work_kind kind{work_kind::simple};
    std::string sql;
    std::vector<std::int32_t> parameter_types;
    std::vector<std::int16_t>
        parameter_formats; ///< empty, one for all parameters, or one per parameter
    std::vector<std::optional<std::string>> parameters;
    bool binary_results{false};
    bool with_description{true}; ///< send RowDescription before the rows

    friend bool operator==(const work&, const work&) = default;
};

/// The answer to one statement.
struct work_answer {
    std::string messages; ///< protocol messages for the client, without ReadyForQuery
    pgwire::transaction_state state{pgwire::transaction_state::idle};
    std::string sqlstate;        ///< SQLSTATE of the first error; empty if there was none
    bool connection_lost{false}; ///< the connection ended before the complete answer arrived
    std::string first_value; ///< first column of the first row, for statements of the daemon itself

    friend bool operator==(const work_answer&, const work_answer&) = default;
};

} // namespace gypsumstep::backend
