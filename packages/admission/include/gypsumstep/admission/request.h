/// \file
/// A request for one backend server, and the admission decision on it.
#pragma once

#include "gypsumstep/base/ids.h"
#include "gypsumstep/base/rank.h"
#include "gypsumstep/base/time.h"

#include <optional>
#include <variant>

namespace gypsumstep::admission {

/// Whether a request is new work or belongs to an open transaction.
enum class request_kind {
    new_work,         ///< needs a connection and a slot
    open_transaction, ///< continues a transaction; holds a connection already
};

/// One statement that needs a slot of a backend server.
struct request {
    request_id id; ///< unique within the queue that the request is offered to
    rank level{rank::urgent};
    client_account_id client_account;
    std::optional<time_point> deadline; ///< if absent, the rank's default timeout applies
    request_kind kind{request_kind::new_work};

    friend bool operator==(const request&, const request&) = default;
};

/// Why a request was refused. A refused request did not run.
enum class refusal_reason {
    queue_full,    ///< the rank's queue is at its limit
    deadline,      ///< the deadline has passed or would be missed
    expired,       ///< the request was queued and waited too long
    not_accepting, ///< the server or the home takes no new work
};

/// The name of a reason as it appears in errors and logs.
[[nodiscard]] const char* to_string(refusal_reason reason);

/// The request holds a slot and must be started now.
struct admitted {
    friend bool operator==(admitted, admitted) = default;
};

/// The request waits in the queue; a later call of start_next() or take_expired() returns it.
struct queued {
    duration estimated_wait{0};

    friend bool operator==(queued, queued) = default;
};

/// The request was not run.
struct refused {
    refusal_reason reason{refusal_reason::queue_full};
    duration retry_after{0}; ///< time after which a retry may succeed

    friend bool operator==(refused, refused) = default;
};

/// The decision on an offered request.
using decision = std::variant<admitted, queued, refused>;

} // namespace gypsumstep::admission
