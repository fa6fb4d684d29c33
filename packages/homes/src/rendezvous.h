/// \file
/// Hashes and scores that are the same on every VM.
#pragma once

#include "gypsumstep/homes/home_table.h"

#include <cstdint>
#include <string_view>

namespace gypsumstep::homes {

/// Returns the daemon's score for weighted rendezvous hashing of a group. The chance of the
/// highest score grows with the square of the capacity, since a slow daemon also answers each
/// statement later.
[[nodiscard]] double group_score(const daemon_entry& daemon, std::string_view service);

/// Returns the daemon's score for the sessions of an account of a group.
[[nodiscard]] double account_score(const daemon_entry& daemon, std::string_view service,
                                   std::string_view account);

/// Returns a hash that spreads sessions over daemons.
[[nodiscard]] std::uint64_t session_hash(std::string_view daemon, std::uint64_t session_number);

} // namespace gypsumstep::homes
