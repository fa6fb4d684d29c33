/// \file
/// A request for one backend server, and what admission answers to it.
#pragma once

#include "gypsumstep/base/ids.h"
#include "gypsumstep/base/rank.h"
#include "gypsumstep/base/time.h"

#include <optional>
#include <variant>

namespace gypsumstep::admission {

/// Whether a request already holds a connection to the backend server.
enum class request_kind {
    new_work,         ///< needs a connection and a slot
    open_transaction, ///< continues a transaction on a connection that it holds
};

/// One statement that wants a slot of a backend server.
struct request {
    request_id id; ///< unique within the queue that it is offered to
    rank level{rank::urgent};
    client_account_id client_account;
    std::optional<time_point> deadline; ///< absent: the rank's patience applies
    request_kind kind{request_kind::new_work};

    friend bool operator==(const request&, const request&) = default;
};

/// Why a request was refused. A refused request did not run.
enum class refusal_reason {
    queue_full,    ///< the rank's queue is at its limit
    deadline,      ///< the estimated wait exceeds the time that is left
    expired,       ///< it was queued, and its time ran out
    not_accepting, ///< the server or the home is leaving
};

/// The reason's name as it appears in errors and logs.
[[nodiscard]] const char* to_string(refusal_reason reason);

/// The request holds a slot and has to be started now.
struct admitted {
    friend bool operator==(admitted, admitted) = default;
};

/// The request waits; start_next() or take_expired() will name it.
struct queued {
    duration estimated_wait{0};

    friend bool operator==(queued, queued) = default;
};

/// The request was not run.
struct refused {
    refusal_reason reason{refusal_reason::queue_full};
    duration retry_after{0}; ///< when the same request has a chance again

    friend bool operator==(refused, refused) = default;
};

/// The answer to an offered request.
using decision = std::variant<admitted, queued, refused>;

} // namespace gypsumstep::admission
