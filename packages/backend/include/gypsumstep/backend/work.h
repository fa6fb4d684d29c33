/// \file
/// One statement to run on a backend server's connection, and its answer.
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
    describe, ///< shape of a prepared statement; nothing runs
};

/// A statement with its parameters.
struct work {
    work_kind kind{work_kind::simple};
    std::string sql;
    std::vector<std::int32_t> parameter_types;
    std::vector<std::int16_t> parameter_formats; ///< none, one for all, or one each
    std::vector<std::optional<std::string>> parameters;
    bool binary_results{false};
    bool with_description{true}; ///< RowDescription precedes the rows

    friend bool operator==(const work&, const work&) = default;
};

/// What a connection answered.
struct work_answer {
    std::string messages; ///< protocol messages for the caller, without ReadyForQuery
    pgwire::transaction_state state{pgwire::transaction_state::idle};
    std::string sqlstate;        ///< of the first error; empty if none
    bool connection_lost{false}; ///< the connection ended before the answer was whole
    std::string first_value;     ///< first column of the first row, for the daemon's own calls

    friend bool operator==(const work_answer&, const work_answer&) = default;
};

} // namespace gypsumstep::backend
