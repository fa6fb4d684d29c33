/// \file
/// Open-loop load on one PostgreSQL server.
#pragma once

#include "load/latency_histogram.h"

#include "gypsumstep/base/error.h"

#include <cstdint>
#include <string>

namespace gypsumstep::load {

/// Settings of a load run.
struct load_settings {
    std::string host{"127.0.0.1"};
    std::uint16_t port{5432};
    std::string database{"load"}; ///< a daemon takes it as the name of a group
    std::string options;          ///< startup options, e.g. "-c gypsumstep.mode=read"
    int connections{10};
    double rate{1'000};      ///< statements per second over all connections
    duration length{5s};     ///< time during which statements arrive
    double write_share{0.0}; ///< share of writes, in [0, 1]
    std::string read{"SELECT 1"};
    std::string write{"SELECT 1"};
    std::uint64_t seed{1};
};

/// Results of a load run. A latency is measured from the scheduled arrival of its statement, so
/// that it includes the wait for an idle connection.
struct load_result {
    latency_histogram latencies; ///< of statements answered without an error
    std::uint64_t offered{0};    ///< statements that arrived
    std::uint64_t errors{0};
    std::uint64_t unanswered{0};
    duration elapsed{0};
    std::string first_error;
};

/// Runs the load. Returns an error if a connection cannot be opened.
[[nodiscard]] result<load_result> run_load(const load_settings& settings);

} // namespace gypsumstep::load
