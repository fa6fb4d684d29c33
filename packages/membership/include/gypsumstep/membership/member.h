/// \file
/// What the daemons tell each other about one daemon.
#pragma once

#include "gypsumstep/base/ids.h"
#include "gypsumstep/membership/endpoint.h"

#include <cstdint>

namespace gypsumstep::membership {

/// A member's state in its record. Later values outrank earlier ones of the same incarnation.
enum class member_status : std::uint8_t {
    alive = 0,
    suspect = 1, ///< failed a probe and may still refute the suspicion
    dead = 2,    ///< did not refute the suspicion in time
    left = 3,    ///< announced its own departure
};

/// The status's name as it appears in logs.
[[nodiscard]] const char* to_string(member_status status);

/// One statement about one member.
struct member_record {
    endpoint address;
    domain_id failure_domain;
    daemon_id run;                ///< the process that is meant; a restart has another
    std::uint64_t incarnation{0}; ///< raised only by the member itself
    member_status status{member_status::alive};

    friend bool operator==(const member_record&, const member_record&) = default;
};

/// True while the member may still take part: alive or suspect.
[[nodiscard]] bool is_present(const member_record& record);

/// True if \p candidate replaces \p current, a record of the same address.
///
/// The higher incarnation wins, then the later status, then the higher run, so
/// that every daemon settles on the same record in whatever order they arrive.
[[nodiscard]] bool supersedes(const member_record& candidate, const member_record& current);

} // namespace gypsumstep::membership
