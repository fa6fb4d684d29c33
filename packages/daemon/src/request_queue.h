/// \file
/// Requests in front of one backend server, in the order that admission decides.
#pragma once

#include "messages.h"

#include "gypsumstep/admission/server_queue.h"
#include "gypsumstep/fleet/document.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace gypsumstep::daemon {

/// Keeps the requests that admission::server_queue decides about.
class request_queue {
public:
    /// \param server gives the slots
    /// \param ranks give floors and bounds
    request_queue(const fleet::server& server,
                  const std::array<fleet::rank_target, rank_count>& ranks);

    /// Takes a request in; returns why not, and does not keep it then.
    [[nodiscard]] std::optional<admission::refused> offer(execute_request request, time_point now);

    /// The next request that holds a slot and has to be started.
    [[nodiscard]] std::optional<execute_request> take_ready();

    /// Puts back a request that could not be started yet; it keeps its slot.
    void put_back(execute_request request);

    /// Frees the slot of a request.
    /// \param ok false for a fault of the server
    void finished(request_id id, duration service_time, bool ok, time_point now);

    /// Requests that cannot meet their deadline any more. They did not run.
    [[nodiscard]] std::vector<execute_request> take_expired(time_point now);

    /// Every request that has not been started. They did not run.
    [[nodiscard]] std::vector<execute_request> take_all(time_point now);

    /// True if a request waits for a connection.
    [[nodiscard]] bool has_ready() const { return !m_ready.empty(); }

    /// Refuses new work from now on, or takes it again.
    void set_accepting(bool accepting) { m_queue.set_accepting(accepting); }

private:
    void start_next(time_point now);
    [[nodiscard]] std::vector<execute_request> take_waiting(const std::vector<request_id>& ids);

    admission::server_queue m_queue;
    std::unordered_map<request_id, execute_request> m_waiting;
    std::deque<execute_request> m_ready;
};

} // namespace gypsumstep::daemon
